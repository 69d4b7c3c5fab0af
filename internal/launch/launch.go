package launch

import (
	"flag"
	"fmt"
	"io"
	"runtime/debug"
)

// Exit codes of a daemon.
const (
	Stopped = 0 // gracefully
	Failed  = 1
	Usage   = 2 // wrong arguments or settings
)

// Daemon names what the command line is for.
type Daemon struct {
	Name string
	File string // default path of the settings file, "" for none
	Out  io.Writer
	Err  io.Writer
}

// Run reads the command line and the settings, and starts the daemon unless only a check or the version is asked for. It
// returns the exit code. The settings' errors name file, section and key.
func Run[S any](d Daemon, args []string, load func(file string) (S, error), start func(file string, s S) int) int {
	fs := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	fs.SetOutput(d.Err)
	file := fs.String("settings", d.File, "path of the INI settings `file`")
	check := fs.Bool("check", false, "read the settings, print each fault, and exit")
	version := fs.Bool("version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintf(d.Err, "usage: %s -settings FILE [-check] [-version]\n", d.Name)
		fs.PrintDefaults()
	}
	if err := fs.Parse(args); err != nil {
		return Usage
	}
	if *version {
		fmt.Fprintln(d.Out, d.Name, buildVersion())
		return Stopped
	}
	if *file == "" || fs.NArg() > 0 {
		fs.Usage()
		return Usage
	}
	s, err := load(*file)
	if err != nil {
		fmt.Fprintln(d.Err, err)
		return Usage
	}
	if *check {
		fmt.Fprintln(d.Out, *file+": no faults")
		return Stopped
	}
	return start(*file, s)
}

func buildVersion() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "(devel)"
}

package launch

import (
	"flag"
	"fmt"
	"io"
	"runtime/debug"
)

// Exit codes of a daemon.
const (
	ExitOK      = 0 // the daemon stopped gracefully, or only the version or a check was requested
	ExitFailure = 1 // the daemon could not start or failed
	ExitUsage   = 2 // wrong arguments or settings
)

// Daemon describes the daemon that the command line starts.
type Daemon struct {
	Name         string
	SettingsFile string // default path of the settings file, "" for none
	Out          io.Writer
	Err          io.Writer
}

// Run parses args, loads the settings and starts the daemon, unless args request only the version or a check of the settings. It
// returns the exit code: that of start, or one of the constants above. Errors of load are printed to d.Err and should name file,
// section and key.
func Run[S any](d Daemon, args []string, load func(file string) (S, error), start func(file string, s S) int) int {
	fs := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	fs.SetOutput(d.Err)
	file := fs.String("settings", d.SettingsFile, "path of the INI settings `file`")
	check := fs.Bool("check", false, "read the settings, print each fault, and exit")
	version := fs.Bool("version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintf(d.Err, "usage: %s -settings FILE [-check] [-version]\n", d.Name)
		fs.PrintDefaults()
	}
	if err := fs.Parse(args); err != nil {
		return ExitUsage
	}
	if *version {
		fmt.Fprintln(d.Out, d.Name, buildVersion())
		return ExitOK
	}
	if *file == "" || fs.NArg() > 0 {
		fs.Usage()
		return ExitUsage
	}
	s, err := load(*file)
	if err != nil {
		fmt.Fprintln(d.Err, err)
		return ExitUsage
	}
	if *check {
		fmt.Fprintln(d.Out, *file+": no faults")
		return ExitOK
	}
	return start(*file, s)
}

// buildVersion returns the version of the module that the binary was built from.
func buildVersion() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "(devel)"
}

// Command shallotd is the entry daemon.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"shallotrun/internal/daemon"
	"shallotrun/internal/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

// run returns the exit code: 0 after a graceful shutdown, 1 for a failure, 2 for wrong arguments or settings.
func run(args []string) int {
	fs := flag.NewFlagSet("shallotd", flag.ContinueOnError)
	file := fs.String("settings", "", "path of the INI settings `file`")
	check := fs.Bool("check", false, "read the settings, print each fault, and exit")
	version := fs.Bool("version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "usage: shallotd -settings FILE [-check] [-version]")
		fs.PrintDefaults()
	}
	if err := fs.Parse(args); err != nil {
		return 2
	}
	if *version {
		fmt.Println("shallotd", buildVersion())
		return 0
	}
	if *file == "" || fs.NArg() > 0 {
		fs.Usage()
		return 2
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if *check {
		fmt.Println(*file + ": no faults")
		return 0
	}
	log := logger(s.Log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &daemon.Daemon{Settings: s, Log: log}
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon: stopped by a failure")
		return 1
	}
	return 0
}

func logger(l settings.Log) zerolog.Logger {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	if l.Format == "console" {
		return zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).Level(level).With().Timestamp().Logger()
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
}

func buildVersion() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "(devel)"
}

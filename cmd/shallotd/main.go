// Command shallotd is the entry daemon, which forwards callers' requests to model engines and plain services.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"shallotrun/internal/daemon"
	"shallotrun/internal/launch"
	"shallotrun/internal/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	d := launch.Daemon{Name: "shallotd", Out: os.Stdout, Err: os.Stderr}
	return launch.Run(d, args, settings.Load, serve)
}

func serve(_ string, s *settings.Settings) int {
	log := logger(s.Log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &daemon.Daemon{Settings: s, Log: log}
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon: stopped by an error")
		return launch.ExitFailure
	}
	return launch.ExitOK
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

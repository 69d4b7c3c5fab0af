// Command shallotfront is the gateway daemon for the users' platform: it forwards callers' requests to backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/internal/front"
	"shallotrun/internal/gateway"
	"shallotrun/internal/launch"
	"shallotrun/internal/logs"
	"shallotrun/internal/settings"
	"shallotrun/io/conn"
	"shallotrun/platform"
)

// settingsFileVar is the environment variable that holds the path of the settings file.
const settingsFileVar = "SHALLOTRUN_BOOT"

const (
	// backendMaxIdle is the longest idle time of a connection to a backend server that is reused.
	backendMaxIdle = 6 * clock.Second
	// storeMaxIdle is the same for the platform's store, which keeps idle connections for longer than the time between calls.
	storeMaxIdle = 5 * clock.Second
	// headerBuffer is the size of a read buffer in bytes, which bounds the headers of an answer.
	headerBuffer = 8 << 10
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	d := launch.Daemon{Name: "shallotfront", SettingsFile: os.Getenv(settingsFileVar), Out: os.Stdout, Err: os.Stderr}
	return launch.Run(d, args, settings.LoadFront, serve)
}

func serve(file string, s *settings.Front) int {
	out := &logs.Writer{Out: os.Stdout}
	defer out.Flush()
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) // changes of the settings file are detected without a signal
	go out.Run(context.WithoutCancel(ctx))
	d := &front.Daemon{
		SettingsFile: file, Settings: s, Log: log,
		Store: &platform.Store{Addr: s.Store, Log: log, Pool: &conn.Pool{MaxIdleTime: storeMaxIdle, ReadBuffer: headerBuffer}},
		Backend: &platform.Backend{Log: log, Pool: &conn.Pool{
			MaxIdleTime: backendMaxIdle, ReadBuffer: headerBuffer, ConnectTimeout: platform.ConnectTimeout,
		}},
		Dialect: func(g *gateway.Gateway, ready func() bool) front.Dialect {
			return &platform.Handler{Gateway: g, Ready: ready}
		},
	}
	if err := d.Run(ctx); err != nil {
		log.Error().Err(err).Msg("daemon: stopped by an error")
		return launch.ExitFailure
	}
	return launch.ExitOK
}

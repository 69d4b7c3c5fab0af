package conn

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Delay before an accept that failed is tried again. It doubles with each failure.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 80 * time.Millisecond // well below the time after which callers give up a connection that is not read
)

// shortageLogInterval is the shortest time between two log lines of a listener about a shortage.
const shortageLogInterval = time.Second

// Listener accepts connections and goes on when the process has no descriptor or the system no memory for the next one: it tries
// again after a delay. Set the exported fields before the first Accept.
type Listener struct {
	net.Listener
	Name string // for the log
	Log  zerolog.Logger
	// Spare keeps a descriptor back for one connection at a time that is accepted although no other one is free.
	Spare bool

	failures atomic.Int64
	logged   time.Time // when a shortage was last logged
	mu       sync.Mutex
	spare    *os.File // nil while a connection uses the descriptor
}

// Failures returns how many accepts have failed.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Accept returns the next connection. It fails only when the listener is closed or broken.
func (l *Listener) Accept() (net.Conn, error) {
	l.keepSpare()
	for failed := 0; ; failed++ {
		c, err := l.Listener.Accept()
		if err == nil {
			if failed > 0 && l.mayLog() {
				l.Log.Info().Str("listener", l.Name).Int("failed", failed).Msg("listener: connections are accepted again")
			}
			return c, nil
		}
		if !isShortage(err) {
			return nil, err
		}
		l.failures.Add(1)
		if c := l.acceptWithSpare(err); c != nil {
			return c, nil
		}
		if failed == 0 && l.mayLog() {
			l.Log.Error().Err(err).Str("listener", l.Name).Msg("listener: new connections have to wait")
		}
		time.Sleep(min(minAcceptDelay<<min(failed, 10), maxAcceptDelay))
		l.keepSpare()
	}
}

// mayLog reports whether the last line about a shortage is long enough ago. It is called by Accept only.
func (l *Listener) mayLog() bool {
	now := time.Now()
	if now.Sub(l.logged) < shortageLogInterval {
		return false
	}
	l.logged = now
	return true
}

// isShortage reports whether an accept failed for want of a descriptor or of memory, or for a connection that was gone already.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// keepSpare keeps a descriptor back, if none is and one is free.
func (l *Listener) keepSpare() {
	if !l.Spare {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spare == nil {
		l.spare, _ = os.Open(os.DevNull) // without a free descriptor it is tried again
	}
}

// acceptWithSpare accepts a connection with the descriptor that is kept back. It returns nil if there is none, or another part of the
// process has taken the descriptor.
func (l *Listener) acceptWithSpare(cause error) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spare == nil || !errors.Is(cause, syscall.EMFILE) || !isPending(l.Listener) {
		return nil
	}
	_ = l.spare.Close() // it holds nothing
	l.spare = nil
	c, err := l.Listener.Accept()
	if err != nil {
		return nil
	}
	return &spareConn{Conn: c, listener: l}
}

// isPending reports whether a connection waits to be accepted. Without a free descriptor an accept fails also if none does.
func isPending(ln net.Listener) bool {
	s, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) //nolint:gosec // a descriptor is a small number
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// spareConn is a connection that uses the descriptor that was kept back.
type spareConn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection and keeps its descriptor back again.
func (c *spareConn) Close() error {
	err := c.Conn.Close()
	c.listener.keepSpare()
	return err
}

package conn

import (
	"errors"
	"net"
	"syscall"
)

// States of the reading side of a connection.
const (
	Open     State = iota // open, nothing to read
	Readable              // there are bytes to read
	Closed                // the peer closed it, or it failed
)

// State is the state of a connection as found without reading from it.
type State uint8

// Peek returns the state of a connection without blocking and without consuming data. For a connection that does not expose
// its socket it returns Open.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Open
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Open
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = Readable
		case err == nil, !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

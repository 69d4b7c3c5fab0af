package conn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// failingListener fails with the errors, one after the other, and then accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

// Guards against a listener that ends by a failure that passes, and against one that goes on although it is closed.
func TestListenerOutlivesShortages(t *testing.T) {
	accept := func(errno syscall.Errno) error {
		return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	broken := accept(syscall.EINVAL)
	for _, c := range []struct {
		errs     []error
		failures int64
		want     error
	}{
		{nil, 0, nil},
		{[]error{accept(syscall.EMFILE), accept(syscall.ENFILE), accept(syscall.EMFILE)}, 3, nil},
		{[]error{accept(syscall.ENOBUFS), accept(syscall.ENOMEM), accept(syscall.ECONNABORTED), accept(syscall.EPROTO)}, 4, nil},
		{[]error{accept(syscall.EMFILE), net.ErrClosed}, 1, net.ErrClosed},
		{[]error{broken}, 0, broken},
	} {
		for _, spare := range []bool{false, true} {
			l := &Listener{Listener: &failingListener{errs: c.errs}, Spare: spare}
			got, err := l.Accept()
			assert.Check(t, errors.Is(err, c.want) && (got != nil) == (c.want == nil), "%v: %v", c.errs, err)
			assert.Equal(t, l.Failures(), c.failures, "%v", c.errs)
		}
	}
}

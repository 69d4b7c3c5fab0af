package caller

import (
	"net"
	"syscall"
)

// Gone reports whether the caller closed its connection, without waiting and without consuming data.
// fasthttp learns of it only from a failed flush, which never comes while a request waits in a queue. A
// caller that closes only its sending side counts as gone, as with net/http.
func Gone(c net.Conn) bool {
	if p, ok := c.(*progressConn); ok {
		c = p.Conn
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return gone || err != nil
}

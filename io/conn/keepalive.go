package conn

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits for detecting a peer that lost power or is partitioned off: it sends nothing, not even a reset, so that a read
// without a deadline would block forever. TCP keepalive probes detect this on a connection that waits for an answer; the limit on
// unacknowledged data detects it on one that sends.
const (
	probeInterval       = time.Second // idle time before the first probe, and time between probes
	maxUnansweredProbes = 2           // unanswered probes after which the connection fails
	maxUnackedMillis    = 1500        // milliseconds that sent data may stay unacknowledged
)

// setUnackedTimeout sets the limit on unacknowledged data on a new socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, maxUnackedMillis)
	})
	if err != nil {
		return err
	}
	return failed
}

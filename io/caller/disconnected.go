package caller

import (
	"net"

	"shallotrun/io/conn"
)

// Disconnected reports whether the caller closed its connection, without blocking and without consuming data. fasthttp
// detects this only by a failed flush, and nothing is flushed while a request waits in a queue. A caller that closes only its
// sending side is also reported as disconnected, as in net/http.
func Disconnected(c net.Conn) bool {
	if p, ok := c.(*connection); ok {
		c = p.Conn
	}
	return conn.Peek(c) == conn.Closed
}

// Abort closes the connection of a caller while an answer is being written to it. The write fails, also one that waits for the caller. The
// bytes that the caller has not read are dropped, as the system would otherwise go on to hold them.
func Abort(c net.Conn) {
	if p, ok := c.(*connection); ok {
		c = p.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection is closed in any case
	}
	_ = c.Close() // it may have been closed already
}

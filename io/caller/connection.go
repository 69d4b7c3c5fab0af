package caller

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/io/conn"
)

// sendBuffer is the size that is set for a connection's send buffer, in bytes; Linux allocates twice as much. Without it the buffer would
// grow to several MB for a caller that reads slowly, which the VM's memory does not allow for. It is above what a link of 200 Mbit/s carries in a round trip of a
// few milliseconds, so that callers who read at once notice nothing.
const sendBuffer = 128 << 10

// listener wraps each accepted connection.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBuffer) // it fails only for a connection that is closed already
	}
	w := &connection{Conn: c, server: l.server, timeout: firstSet(l.server.WriteTimeout, 10*clock.Second), since: time.Now()}
	l.server.connections.add(w)
	return w, nil
}

// Phases of a connection.
const (
	opened      phase = iota // no byte has arrived
	idle                     // no byte of the next request has arrived
	readingHead              // a part of the next request's head has arrived
	readingBody              // the rest of a request arrives, or it is served
)

// phase is what a connection waits for.
type phase uint8

// connection is a caller's connection. It ends reads by the limits in force, and fails a write if the caller reads nothing within the
// progress timeout. fasthttp's own timeouts aren't used: that of writes covers a whole response and would cut long streams, and those of
// reads are set once, before the limits change.
type connection struct {
	net.Conn
	server        *Server
	timeout       time.Duration
	writeDeadline time.Time // write deadline that is set on Conn
	readRest      bool      // the rest of a request that was refused early may still arrive; Close reads it
	head          headScanner
	kept          []byte // bytes of a head that has not arrived whole and may exceed the read buffer

	mu       sync.Mutex
	phase    phase
	since    time.Time // when the phase began
	deadline time.Time // read deadline that is set on Conn
}

// Read ends with an error when the deadline of the phase has passed, or when the head exceeds its limit.
func (c *connection) Read(p []byte) (int, error) {
	for {
		if err := c.arm(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.shouldRetryRead() {
			continue
		}
		if n > 0 {
			err = cmp.Or(err, c.scan(p[:n]))
		}
		return n, err
	}
}

// scan takes note of bytes that have arrived. It fails if the head exceeds its limit before its end.
func (c *connection) scan(b []byte) error {
	if c.head.done {
		return nil
	}
	c.head.add(b)
	limit, buffer := c.server.headLimit(), c.server.readBuffer()
	switch {
	case c.head.done && c.head.size <= buffer:
		c.kept = nil
	case limit > buffer:
		c.kept = append(c.kept, b...)
	}
	if c.head.done {
		c.enter(readingBody)
		return nil
	}
	c.enter(readingHead)
	if c.head.size > limit {
		return errLargeHead
	}
	return nil
}

// enter begins a phase, if the connection is in another one. The time for the rest of a request counts from the first byte of its head.
func (c *connection) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == p {
		return
	}
	if c.phase != readingHead || p != readingBody {
		c.since = time.Now()
	}
	c.phase = p
}

// phaseTimeout returns how long the present phase may last. mu is held.
func (c *connection) phaseTimeout() time.Duration {
	switch c.phase {
	case opened:
		return c.server.openedTimeout()
	case idle:
		return c.server.idleTimeout()
	case readingHead:
		return c.server.headTimeout()
	default:
		return c.server.requestTimeout()
	}
}

// arm sets the read deadline of the present phase.
func (c *connection) arm() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.since.Add(c.phaseTimeout())
	if d.Equal(c.deadline) {
		return nil
	}
	c.deadline = d
	return c.SetReadDeadline(d)
}

// lateReadTimeout is the time for reading bytes that arrived before the deadline.
const lateReadTimeout = 100 * time.Millisecond

// shouldRetryRead reports whether a read is repeated whose deadline has passed: the deadline was moved meanwhile, or bytes have arrived that
// the process could not read in time, as the VM was suspended.
func (c *connection) shouldRetryRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, timeout := time.Now(), c.phaseTimeout()
	if now.Before(c.since.Add(timeout)) {
		return true
	}
	if conn.Peek(c.Conn) != conn.Readable {
		if c.phase == opened || c.phase == idle {
			c.server.connections.idleEnded.Add(1)
		}
		return false
	}
	c.since = now.Add(lateReadTimeout - timeout)
	return true
}

// changeState tells a connection that its request was answered, or begins. It is fasthttp's ConnState.
func changeState(nc net.Conn, s fasthttp.ConnState) {
	c, ok := nc.(*connection)
	if !ok {
		return
	}
	switch s {
	case fasthttp.StateIdle:
		c.head, c.kept = headScanner{}, nil
		c.enter(idle)
	case fasthttp.StateActive:
		if c.head.size == 0 { // the beginning of the request was sent behind another one and has been read with that
			c.head.done = true
			c.enter(readingBody)
		}
	}
}

// connections are the open connections of a server.
type connections struct {
	idleEnded atomic.Int64 // connections that were closed as they were idle for too long

	mu  sync.Mutex
	all map[*connection]struct{}
}

func (m *connections) add(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all == nil {
		m.all = make(map[*connection]struct{})
	}
	m.all[c] = struct{}{}
}

func (m *connections) remove(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.all, c)
}

// rearm sets the deadlines of all connections anew, as the limits have changed.
func (m *connections) rearm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.all {
		_ = c.arm() // it fails only for a connection that is closed already
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.connections.mu.Lock()
	defer s.connections.mu.Unlock()
	return len(s.connections.all)
}

// IdleEnded returns how many connections were closed because they were idle for longer than allowed.
func (s *Server) IdleEnded() int64 { return s.connections.idleEnded.Load() }

// Bounds on reading the rest of a request that was refused before it had arrived whole.
const (
	maxRestTime  = 500 * time.Millisecond
	maxRestBytes = 4 << 20
)

// Close first reads, within bounds, what the caller still sends after an early refusal. Closing with unread data would reset
// the connection, and the caller would lose the refusal.
func (c *connection) Close() error {
	c.server.connections.remove(c)
	if t, ok := c.Conn.(*net.TCPConn); ok && c.readRest && t.CloseWrite() == nil && t.SetReadDeadline(time.Now().Add(maxRestTime)) == nil {
		_, _ = io.CopyN(io.Discard, t, maxRestBytes)
	}
	return c.Conn.Close()
}

// Write continues after a timeout if some bytes were written, because then the caller has made progress.
func (c *connection) Write(b []byte) (int, error) {
	total := 0
	for {
		// The deadline is extended only when less than the progress timeout is left, because setting it for each token
		// would cost too much time.
		now := time.Now()
		if c.writeDeadline.Sub(now) < c.timeout {
			c.writeDeadline = now.Add(c.timeout + c.timeout/16)
			if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
				return total, err
			}
		}
		n, err := c.Conn.Write(b[total:])
		total += n
		var timeout net.Error
		if err == nil || n == 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return total, err
		}
	}
}

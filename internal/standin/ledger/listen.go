package ledger

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections, and makes all open ones silent or closes them together.
type Listener struct {
	net.Listener

	mu          sync.Mutex
	conns       map[*conn]struct{}
	silentConns []net.Conn // silent connections that the server closed; kept open until the listener closes
}

// conn is an accepted connection. Once silent, it delivers nothing more to the server and discards what the server writes, but
// stays open: the other side sees an established connection on which nothing arrives.
type conn struct {
	net.Conn
	l      *Listener
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

// Listen opens a TCP listener on addr.
func Listen(addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: ln, conns: map[*conn]struct{}{}}, nil
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: c, l: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[w] = struct{}{}
	l.mu.Unlock()
	return w, nil
}

// Silence makes all open connections silent until they close and returns their number. New connections work.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// CloseAll closes all open connections.
func (l *Listener) CloseAll() {
	l.mu.Lock()
	cs := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		cs = append(cs, c)
	}
	l.mu.Unlock()
	for _, c := range cs {
		c.Close()
	}
}

// Close stops accepting and closes all open connections.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	l.CloseAll()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.silentConns {
		c.Close()
	}
	return err
}

// Read implements [net.Conn].
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

// Write implements [net.Conn].
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements [net.Conn]. A silent connection that the stand-in's server closes stays open towards the other side until the
// listener closes, because the other side would detect the failure by the close.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.l.mu.Lock()
		delete(c.l.conns, c)
		silent := c.silent.Load()
		if silent {
			c.l.silentConns = append(c.l.silentConns, c.Conn)
		}
		c.l.mu.Unlock()
		if !silent {
			err = c.Conn.Close()
		}
	})
	return err
}

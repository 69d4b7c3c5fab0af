package conn

import (
	"net"
	"sync"
)

// Abort ends a call from another goroutine by closing its connection. The zero value is ready; one Abort serves
// the calls of one request, one after the other. Methods of a nil Abort do nothing.
type Abort struct {
	mu     sync.Mutex
	conn   net.Conn
	done   bool // no later call is started
	broken bool // the last call was ended
}

// Abort ends the call that is under way and every later one.
func (a *Abort) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// Break ends the call that is under way, but not later ones.
func (a *Abort) Break() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broken = true
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// bind takes the connection of a call, false if calls were ended already.
func (a *Abort) bind(c net.Conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return false
	}
	a.conn, a.broken = c, false
	return true
}

// release gives the connection up, and reports whether it is still open: it may then be used by other calls.
func (a *Abort) release() bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	open := a.conn != nil
	a.conn = nil
	return open
}

// Ended reports whether the call that was bound last was ended.
func (a *Abort) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done || a.broken
}

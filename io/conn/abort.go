package conn

import (
	"net"
	"sync"
)

// Abort ends a call from another goroutine by closing its connection. The zero value is ready for use. One Abort serves the
// successive calls of one request. Pool and Response accept a nil Abort.
type Abort struct {
	mu          sync.Mutex
	conn        net.Conn
	aborted     bool // the current call and all later ones were ended
	callAborted bool // the most recent call was ended
}

// Abort ends the call in flight and makes every later one fail.
func (a *Abort) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// AbortCurrent ends the call in flight and leaves later ones possible.
func (a *Abort) AbortCurrent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callAborted = true
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// bind sets the connection of a new call. It returns false if Abort was called before.
func (a *Abort) bind(c net.Conn) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	a.conn, a.callAborted = c, false
	return true
}

// release detaches the connection and reports whether it is still open and so can be reused by other calls.
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

// Aborted reports whether the most recent call was ended by Abort or AbortCurrent.
func (a *Abort) Aborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted || a.callAborted
}

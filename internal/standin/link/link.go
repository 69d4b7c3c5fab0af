package link

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
)

// Faults are the names of the faults of a link.
var Faults = []string{"cut", "hang", "silent", "delay"}

// Path is a listening address and the target to which its connections are relayed.
type Path struct {
	Group  string
	Listen string
	Target string
}

// Link relays a number of paths. Set the exported fields before Run.
type Link struct {
	Ledger  *ledger.Ledger
	Paths   []Path
	Sources [][2]string // group and prefix of the source address

	mu    sync.Mutex
	conns map[*connPair]struct{}
}

// connPair is a relayed connection: a to the source, b to the target.
type connPair struct {
	group  string
	silent atomic.Bool
	a, b   net.Conn
}

// Run listens on all paths and relays until ctx ends. It returns once all listeners are open.
func (l *Link) Run(ctx context.Context) error {
	l.conns = map[*connPair]struct{}{}
	l.Ledger.Faults.OnChange = map[string]func(ledger.Fault){"cut": l.cut, "silent": l.silence}
	for _, p := range l.Paths {
		ln, err := net.Listen("tcp", p.Listen)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { ln.Close() })
		go l.accept(ln, p)
	}
	return nil
}

func (l *Link) accept(ln net.Listener, p Path) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.relay(c, p)
	}
}

func (l *Link) relay(a net.Conn, p Path) {
	defer a.Close()
	group := l.group(a, p)
	if l.affects("cut", group) {
		l.Ledger.Count("refused")
		if t, ok := a.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		return
	}
	b, err := net.Dial("tcp", p.Target)
	if err != nil {
		return
	}
	defer b.Close()
	l.Ledger.Count("open")
	r := &connPair{group: group, a: a, b: b}
	l.mu.Lock()
	l.conns[r] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, r)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go l.forward(r, a, b, done)
	go l.forward(r, b, a, done)
	<-done
	if r.silent.Load() {
		<-done // the other side must not detect the close of this one
	}
}

// group returns SOURCE.TARGET, or only the target's group if the source belongs to none.
func (l *Link) group(c net.Conn, p Path) string {
	for _, s := range l.Sources {
		if strings.HasPrefix(c.RemoteAddr().String(), s[1]) {
			return s[0] + "." + p.Group
		}
	}
	return p.Group
}

// forward copies from one side to the other until an error. The delay applies to one buffer after the other, which is enough for
// the small messages on these links.
func (l *Link) forward(r *connPair, from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for l.affects("hang", r.group) && !r.silent.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if r.silent.Load() {
			continue
		}
		if d := l.delay(r.group); d > 0 {
			time.Sleep(d.Std())
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *Link) cut(x ledger.Fault) {
	l.each(x, func(r *connPair) {
		r.a.Close()
		r.b.Close()
	})
}

func (l *Link) silence(x ledger.Fault) {
	l.each(x, func(r *connPair) { r.silent.Store(true) })
}

// each calls f for the connections of the fault's groups when the fault is set, not when it is cleared.
func (l *Link) each(x ledger.Fault, f func(*connPair)) {
	if x.For < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.conns {
		if matches(x, r.group) {
			f(r)
		}
	}
}

func (l *Link) affects(fault, group string) bool {
	x, ok := l.Ledger.Faults.Active(fault)
	return ok && matches(x, group)
}

func (l *Link) delay(group string) clock.Span {
	x, ok := l.Ledger.Faults.Active("delay")
	if !ok {
		return 0
	}
	s, _ := x.Value.(string)
	g, ms, found := strings.Cut(s, "=")
	if !found || g != "" && g != group {
		return 0
	}
	n, _ := strconv.Atoi(ms)
	return clock.Span(n)
}

// matches reports whether the fault applies to the group. Groups in its value are separated by commas; one that ends in "*"
// matches all groups with that prefix, an empty value matches all groups.
func matches(x ledger.Fault, group string) bool {
	s, _ := x.Value.(string)
	if s == "" {
		return true
	}
	for _, g := range strings.Split(s, ",") {
		p, wild := strings.CutSuffix(g, "*")
		if g == group || wild && strings.HasPrefix(group, p) {
			return true
		}
	}
	return false
}

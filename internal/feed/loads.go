package feed

import (
	"sync"
	"sync/atomic"

	"shallotrun/core/clock"
	"shallotrun/core/load"
)

// loadKeep is how long the report of another VM counts. It covers two lost questions.
const loadKeep = 1200 * clock.Millisecond

// Loads pools what the VMs have under way at the backend servers. All methods may be called from several goroutines.
// Uses is set before the feed runs.
type Loads struct {
	// Uses returns what this VM has under way.
	Uses func() []load.Use

	mu        sync.Mutex
	followers load.Board // by VM
	domains   load.Board // by failure domain, without this one
	others    atomic.Pointer[load.View]
}

// Own returns what this VM has under way.
func (l *Loads) Own() []load.Use {
	if l.Uses == nil {
		return nil
	}
	return l.Uses()
}

// Answer takes the report of a VM that follows this one, and returns the sums of all others.
func (l *Loads) Answer(now clock.Time, from string, uses []load.Use) []load.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followers.Keep = loadKeep
	l.followers.Put(now, from, uses)
	v := l.sum(now, from)
	v.Add(l.Own())
	return v.List()
}

// Domain returns what the VMs that follow this one and itself have under way.
func (l *Loads) Domain(now clock.Time) []load.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.followers.Sum(now, "")
	v.Add(l.Own())
	return v.List()
}

// Put takes the sums of another failure domain.
func (l *Loads) Put(now clock.Time, domain string, uses []load.Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains.Keep = loadKeep
	l.domains.Put(now, domain, uses)
}

// Lead adds up what the other VMs have under way, for a VM that follows none.
func (l *Loads) Lead(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.sum(now, "")
	l.others.Store(&v)
}

func (l *Loads) sum(now clock.Time, without string) load.View {
	v := l.followers.Sum(now, without)
	d := l.domains.Sum(now, "")
	v.Add(d.List())
	return v
}

// Learn takes the sums of all other VMs from the VM that this one follows.
func (l *Loads) Learn(now clock.Time, uses []load.Use) {
	v := load.View{At: now, Uses: make(map[string]load.Use, len(uses))}
	v.Add(uses)
	l.others.Store(&v)
}

// Others returns what the other VMs have under way, nil if that is not known now.
func (l *Loads) Others(now clock.Time) *load.View {
	v := l.others.Load()
	if v == nil || now.Sub(v.At) > loadKeep {
		return nil
	}
	return v
}

package feed

import (
	"sync"
	"sync/atomic"

	"shallotrun/core/clock"
	"shallotrun/core/load"
)

// loadKeep is how long the report of another VM counts. It covers two lost questions.
const loadKeep = 1200 * clock.Millisecond

// Loads pools what the VMs have under way at the backend servers. Sums go up the tree of VMs that follow each other, and the rest
// of the fleet comes down. All methods may be called from several goroutines. Uses is set before the feed runs.
type Loads struct {
	// Uses returns what this VM has under way.
	Uses func() []load.Use

	mu        sync.Mutex
	followers load.Board
	above     load.View // all VMs but this one and those that follow it, directly or not
	others    atomic.Pointer[load.View]
}

// Report returns what this VM and those that follow it have under way.
func (l *Loads) Report(now clock.Time) []load.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.below(now, "")
	v.Add(l.own(), 0)
	return v.List()
}

// Answer takes the report of a VM that follows this one, and returns the sums of all others.
func (l *Loads) Answer(now clock.Time, from string, uses []load.Use) []load.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followers.Keep = loadKeep
	l.followers.Put(now, from, uses)
	v := l.known(now, from)
	v.Add(l.own(), 0)
	return v.List()
}

// Learn takes the sums of all other VMs from the VM that this one follows.
func (l *Loads) Learn(now clock.Time, uses []load.Use) {
	l.mu.Lock()
	l.above = load.View{At: now, Uses: make(map[string]load.Use, len(uses))}
	l.above.Add(uses, 0)
	l.mu.Unlock()
	l.Refresh(now)
}

// Refresh adds up what the other VMs have under way.
func (l *Loads) Refresh(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.known(now, "")
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

// known returns the sums of the VMs that follow this one but for one, and of all above it.
func (l *Loads) known(now clock.Time, without string) load.View {
	v := l.below(now, without)
	if age := now.Sub(l.above.At); age <= loadKeep {
		v.Add(l.above.List(), age)
	}
	return v
}

func (l *Loads) below(now clock.Time, without string) load.View {
	l.followers.Keep = loadKeep
	return l.followers.Sum(now, without)
}

func (l *Loads) own() []load.Use {
	if l.Uses == nil {
		return nil
	}
	return l.Uses()
}

package fleet

import (
	"fmt"
	"slices"
	"sync"

	"shallotrun/core/relay"
	"shallotrun/core/work"
	"shallotrun/internal/servers"
	"shallotrun/io/peer"
)

// pool holds the counters of results that the VMs pool, and the marks of leaving backend servers.
type pool struct {
	mu        sync.Mutex
	counters  relay.Counters
	sentMarks []servers.Mark // sent last
}

func (f *Fleet) source() string { return fmt.Sprintf("%s/%d", f.Name, f.inc) }

// Report adds the result of an attempt to the counters of its version.
func (f *Fleet) Report(r work.Result) {
	if r.Version == "" || r.Refused {
		return // a refusal indicates load, not a bad version
	}
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	f.pool.counters.Add(r.Model+"@"+r.Version, r.Failed)
}

// Counters returns the pooled counters: one row for each VM of the own domain and one for each other domain. The watchers of a
// domain have all rows; other VMs have only their own.
func (f *Fleet) Counters() []relay.Counter {
	f.pool.mu.Lock()
	defer f.pool.mu.Unlock()
	return f.pool.counters.All()
}

// IsWatcher reports whether this VM is one of its domain's watchers, which collect the counters and are the candidates to control
// rollouts.
func (f *Fleet) IsWatcher() bool { return slices.Contains(f.watchers(), f.Name) }

// watchers returns the watchers of the own domain, this VM included if it is one.
func (f *Fleet) watchers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := f.serving(f.Clock.Now())
	return names[:min(relay.Watchers, len(names))]
}

// tickPool sends the counters and marks that changed; with all true it sends everything, for peers that missed a message.
func (f *Fleet) tickPool(all bool) {
	f.pool.mu.Lock()
	own, sums := f.pool.counters.Own(all), []relay.Counter(nil)
	watchers := f.watchers()
	collects := slices.Contains(watchers, f.Name)
	if collects {
		sums = f.pool.counters.Sums(all || len(own) > 0)
	}
	f.pool.mu.Unlock()
	f.sendCounters(watchers, own)
	if collects {
		f.sendCounters(f.connected(true), sums)
	}
	marks := f.Servers.Marks()
	f.pool.mu.Lock()
	changed := !slices.Equal(marks, f.pool.sentMarks)
	f.pool.sentMarks = marks
	f.pool.mu.Unlock()
	if changed || all && len(marks) > 0 {
		f.broadcast(peer.KindServerMarks, marks)
	}
}

func (f *Fleet) sendCounters(names []string, rows []relay.Counter) {
	for _, n := range names {
		if n == f.Name || len(rows) == 0 {
			continue
		}
		if err := f.transport.Send(n, peer.KindCounters, rows); err != nil {
			f.Log.Debug().Err(err).Str("peer", n).Msg("relay: counters not sent; the next message replaces them")
		}
	}
}

// mergeCounters merges the counters of a peer. Changed counters of another domain are forwarded to the own domain's watchers.
func (f *Fleet) mergeCounters(from string, rows []relay.Counter) {
	f.mu.Lock()
	r, ok := f.members.Find(from)
	f.mu.Unlock()
	if !ok {
		return
	}
	f.pool.mu.Lock()
	changed := f.pool.counters.Merge(r.Domain, rows)
	f.pool.mu.Unlock()
	if r.Domain != f.Domain && len(changed) > 0 {
		f.sendCounters(f.watchers(), changed)
	}
}

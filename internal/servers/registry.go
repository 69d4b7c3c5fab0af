package servers

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	// markLife is the time after which a refusal by a server that sends no load reports no longer counts.
	// Plain services send none; a server that still leaves then refuses one more request, which is not run.
	markLife = 60 * clock.Second
	// reportLag is how much later than a refusal a load report must have been taken to lift it. It covers
	// the lag of reports and the difference between the engine's wall clock and this VM's.
	reportLag = 2 * clock.Second
	// peerLife is the time for which the last word of a peer counts. Peers repeat their marks with every
	// change and every few heartbeats; a peer that is gone must not keep a server out for good.
	peerLife = 30 * clock.Second
)

// Registry holds the servers. Set the exported fields before the first call. All methods may be called
// from several goroutines.
type Registry struct {
	Clock clock.Clock
	Log   zerolog.Logger

	view atomic.Pointer[view]

	mu     sync.Mutex
	listed clock.Time     // when the last whole list was asked for, by Clock.Now
	rows   map[string]row // by name
	list   []work.VM      // the rows that are not gone, ordered by name
	own    map[string]own
	peers  map[string]peer
	subs   []func()
}

// Mark is what one entry VM reports to its peers about a backend server that it knows to be leaving.
type Mark struct {
	Name string `json:"name" cbor:"name"`
	Addr string `json:"addr" cbor:"addr"` // tells a replacement of the same name apart
}

// view is what readers see. It is replaced as a whole.
type view struct {
	pools   map[string][]work.VM
	entries []work.VM
	all     []work.VM
}

// own is what this VM heard from a backend server itself.
type own struct {
	addr    string
	leaving bool
	report  bool       // the last word was a load report, not a refusal
	at      clock.Time // when it was heard
}

// peer is the last word of one peer.
type peer struct {
	marks map[string]Mark
	at    clock.Time
}

// Servers returns the backend servers of a pool, also leaving ones. It must not be modified.
func (r *Registry) Servers(pool string) []work.VM {
	if v := r.view.Load(); v != nil {
		return v.pools[pool]
	}
	return nil
}

// All returns every backend server, ordered by name. It must not be modified.
func (r *Registry) All() []work.VM {
	if v := r.view.Load(); v != nil {
		return v.all
	}
	return nil
}

// Entries returns the entry VMs as the platform lists them, ordered by name. It must not be modified.
func (r *Registry) Entries() []work.VM {
	if v := r.view.Load(); v != nil {
		return v.entries
	}
	return nil
}

// MarkLeaving records that a backend server refused work because it is leaving.
func (r *Registry) MarkLeaving(name string) {
	r.mu.Lock()
	r.hear(name, own{leaving: true, at: r.Clock.Now()})
	r.rebuild()
}

// Report takes the load report of a backend server. A report from before the server's own refusal, or
// shortly after it, does not lift the mark, because reports lag.
func (r *Registry) Report(name string, l work.Load) {
	now := r.Clock.Now()
	// Reports carry the wall clock of the engine, and this VM judges by its own: the age is taken from the
	// wall clock and is never below zero.
	age := max(0, r.Clock.Wall().Sub(l.At))
	heard := own{leaving: l.Leaving, report: true, at: now.Add(-age)}
	r.mu.Lock()
	old, ok := r.own[name]
	lifts := ok && old.leaving && !heard.leaving
	if lifts && heard.at < old.at.Add(reportLag) || ok && !lifts && !heard.leaving && heard.at < old.at {
		r.mu.Unlock()
		return
	}
	if ok && old.leaving && heard.leaving {
		heard.at = max(heard.at, old.at)
	}
	r.hear(name, heard)
	if ok && old.leaving == heard.leaving {
		r.mu.Unlock()
		return
	}
	r.rebuild()
}

// Marks returns the servers that this VM itself heard to be leaving, for its peers. It leaves out what
// other peers said, so that a mark does not circulate after its source dropped it.
func (r *Registry) Marks() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Mark{}
	for _, vm := range r.list {
		if r.ownLeaving(vm) || vm.Kind != work.KindEntry && vm.State == work.StateLeaving {
			out = append(out, Mark{Name: vm.Name, Addr: vm.Addr})
		}
	}
	return out
}

// Peer takes all marks of a peer, in place of the ones it gave before.
func (r *Registry) Peer(name string, marks []Mark) {
	r.mu.Lock()
	p := peer{at: r.Clock.Now(), marks: map[string]Mark{}}
	for _, m := range marks {
		p.marks[m.Name] = m
	}
	if r.peers == nil {
		r.peers = map[string]peer{}
	}
	r.peers[name] = p
	r.rebuild()
}

// Subscribe calls f after every change of the view.
func (r *Registry) Subscribe(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs = append(r.subs, f)
}

// Expire drops what no longer counts. The poller calls it at every poll.
func (r *Registry) Expire() {
	r.mu.Lock()
	now := r.Clock.Now()
	for name, p := range r.peers {
		if now.Sub(p.at) > peerLife {
			delete(r.peers, name)
		}
	}
	listed := map[string]bool{}
	for _, vm := range r.list {
		listed[vm.Name] = true
	}
	for name, o := range r.own {
		if !listed[name] && now.Sub(o.at) > markLife {
			delete(r.own, name)
		}
	}
	r.rebuild()
}

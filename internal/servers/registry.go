package servers

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	// markLifetime is the time after which a refusal by a server that sends no load reports expires. Plain services send none. If
	// the server is still leaving then, it refuses one more request, which it does not execute.
	markLifetime = 60 * clock.Second
	// reportLag is how much later than a refusal a load report must have been taken to override it. It covers the lag of reports
	// and the difference between the wall clocks of the engine and this VM.
	reportLag = 2 * clock.Second
	// peerLifetime is the time after which the marks of a peer expire. Peers send their marks at every change and every few
	// heartbeats. The marks of a peer that was stopped must not keep a server out of use for good.
	peerLifetime = 30 * clock.Second
)

// Registry holds the listed VMs and what each source reports about them. Set the exported fields before the first call. Its
// methods are safe for concurrent use.
type Registry struct {
	Clock clock.Clock
	Log   zerolog.Logger

	view atomic.Pointer[view]

	mu     sync.Mutex
	listed clock.Time     // when the last whole list was requested, by Clock.Now
	rows   map[string]row // by name
	list   []work.VM      // the rows that are not removed, ordered by name
	own    map[string]observation
	peers  map[string]peerMarks
	subs   []func()
}

// Mark is an entry VM's report to its peers that a backend server is leaving.
type Mark struct {
	Name string `json:"name" cbor:"name"`
	Addr string `json:"addr" cbor:"addr"` // distinguishes a replacement that has the same name
}

// view is the merged state that readers get. A view is never modified, only replaced.
type view struct {
	pools   map[string][]work.VM
	entries []work.VM
	all     []work.VM
}

// observation is what this VM itself received last from a backend server.
type observation struct {
	addr       string
	leaving    bool
	fromReport bool       // received in a load report, not in a refusal
	at         clock.Time // when the report was taken or the refusal received, by Clock.Now
}

// peerMarks holds the marks that one peer sent last, by server.
type peerMarks struct {
	marks map[string]Mark
	at    clock.Time
}

// Servers returns the backend servers of a pool, including leaving ones. The slice must not be modified.
func (r *Registry) Servers(pool string) []work.VM {
	if v := r.view.Load(); v != nil {
		return v.pools[pool]
	}
	return nil
}

// All returns every backend server, ordered by name. The slice must not be modified.
func (r *Registry) All() []work.VM {
	if v := r.view.Load(); v != nil {
		return v.all
	}
	return nil
}

// Entries returns the entry VMs with the states that the platform lists, ordered by name. The slice must not be modified.
func (r *Registry) Entries() []work.VM {
	if v := r.view.Load(); v != nil {
		return v.entries
	}
	return nil
}

// MarkLeaving records that a backend server refused work because it is leaving.
func (r *Registry) MarkLeaving(name string) {
	r.mu.Lock()
	r.setOwn(name, observation{leaving: true, at: r.Clock.Now()})
	r.publish()
}

// RecordLoad records a load report of a backend server. A report taken before a refusal by the server, or less than reportLag
// after it, does not make the server live again, because reports lag.
func (r *Registry) RecordLoad(name string, l work.Load) {
	now := r.Clock.Now()
	// The report has the time of the engine's wall clock, and the age is computed with the wall clock of this VM. A negative age,
	// from an engine whose clock is ahead, is taken as 0.
	age := max(0, r.Clock.Wall().Sub(l.At))
	current := observation{leaving: l.Leaving, fromReport: true, at: now.Add(-age)}
	r.mu.Lock()
	old, ok := r.own[name]
	lifts := ok && old.leaving && !current.leaving
	if lifts && current.at < old.at.Add(reportLag) || ok && !lifts && !current.leaving && current.at < old.at {
		r.mu.Unlock()
		return
	}
	if ok && old.leaving && current.leaving {
		current.at = max(current.at, old.at)
	}
	r.setOwn(name, current)
	if ok && old.leaving == current.leaving {
		r.mu.Unlock()
		return
	}
	r.publish()
}

// Marks returns the marks for peers: the servers that are leaving by the platform's list or by what this VM itself received from
// them. Marks from other peers are not included, so that a mark does not circulate after its source dropped it.
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

// SetPeerMarks replaces the marks of a peer.
func (r *Registry) SetPeerMarks(name string, marks []Mark) {
	r.mu.Lock()
	p := peerMarks{at: r.Clock.Now(), marks: map[string]Mark{}}
	for _, m := range marks {
		p.marks[m.Name] = m
	}
	if r.peers == nil {
		r.peers = map[string]peerMarks{}
	}
	r.peers[name] = p
	r.publish()
}

// Subscribe registers f to be called after every change of the listed VMs or their states.
func (r *Registry) Subscribe(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs = append(r.subs, f)
}

// Expire drops expired marks of peers and the observations of servers that are no longer listed. The poller calls it at every
// poll.
func (r *Registry) Expire() {
	r.mu.Lock()
	now := r.Clock.Now()
	for name, p := range r.peers {
		if now.Sub(p.at) > peerLifetime {
			delete(r.peers, name)
		}
	}
	listed := map[string]bool{}
	for _, vm := range r.list {
		listed[vm.Name] = true
	}
	for name, o := range r.own {
		if !listed[name] && now.Sub(o.at) > markLifetime {
			delete(r.own, name)
		}
	}
	r.publish()
}

package fleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/member"
	"shallotrun/core/relay"
	"shallotrun/internal/config"
	"shallotrun/io/peer"
)

// temporaryIdleTimeout is the idle timeout of a connection that was opened for a single request.
const temporaryIdleTimeout = 30 * clock.Second

func (f *Fleet) step(in member.Input) {
	f.mu.Lock()
	cs := f.members.Step(f.Clock.Now(), in)
	f.mu.Unlock()
	f.execute(cs)
}

// execute executes commands of the membership. A heartbeat or view that cannot be sent is dropped, as the next one replaces it.
func (f *Fleet) execute(cs []member.Command) {
	for _, c := range cs {
		var err error
		switch c := c.(type) {
		case member.Connect:
			f.transport.Connect(c.Name, c.Addr)
		case member.Disconnect:
			f.transport.Disconnect(c.Name)
		case member.SendHeartbeat:
			err = f.transport.Send(c.To, peer.KindHeartbeat, c.Heartbeat)
		case member.SendView:
			err = f.transport.Send(c.To, peer.KindView, c.View)
		}
		if err != nil {
			f.Log.Debug().Err(err).Msg("peer: heartbeat not sent")
		}
	}
}

func (f *Fleet) tickMembers() {
	now := f.Clock.Now()
	revision, digest := f.Store.Revision(), f.digest()
	f.mu.Lock()
	f.members.Revision, f.members.Digest = revision, digest
	var cs []member.Command
	if f.vmListChanged {
		f.vmListChanged = false
		cs = f.members.Step(now, member.VMList{VMs: f.Servers.Entries()})
	}
	if revision != 0 {
		cs = append(cs, f.members.Declare(now, member.Serving)...)
	}
	cs = append(cs, f.members.Step(now, member.Tick{})...)
	watch := relay.IsWatcher(f.Name, f.serving(now))
	known := len(f.members.Members(now, f.Domain)) > 0
	for n, used := range f.temporary {
		if now.Sub(used) > temporaryIdleTimeout {
			delete(f.temporary, n)
			if !f.members.WantsConnection(n) {
				cs = append(cs, member.Disconnect{Name: n})
			}
		}
	}
	f.mu.Unlock()
	f.execute(cs)
	f.EnableWatch(watch)
	if known {
		for _, s := range f.Seeds {
			f.transport.DisconnectSeed(s)
		}
	}
}

// serving returns the names of the own domain's VMs that serve, and of those that join and are reachable, with this VM
// included. The caller holds f.mu.
func (f *Fleet) serving(now clock.Time) []string {
	var out []string
	for _, n := range f.members.Names(now, f.Domain) {
		if s := f.members.State(now, n); s == member.Serving || n == f.Name || s == member.Joining && f.transport.Reachable(n) {
			out = append(out, n)
		}
	}
	return out
}

func (f *Fleet) heartbeat() member.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &f.members
	return member.Heartbeat{State: m.Self.State, Revision: m.Revision, Digest: m.Digest, Record: m.Self}
}

func (f *Fleet) handleHeartbeat(name string, inc uint64, b member.Heartbeat) {
	now, own, digest := f.Clock.Now(), f.Store.Revision(), f.digest()
	f.mu.Lock()
	cs := f.members.Step(now, member.HeartbeatReceived{Name: name, Inc: inc, Heartbeat: b})
	ask := f.fetchLimiter.Allow(now, own, b.Revision)
	differs := b.Revision == own && own != 0 && b.Digest != digest && b.Digest != 0 && now.Sub(f.haltsSent[name]) > 2*f.Heartbeat
	if differs {
		f.haltsSent[name] = now
	}
	f.mu.Unlock()
	f.execute(cs)
	f.Store.Observe(b.Revision)
	if ask {
		go f.fetchDocument(name)
	}
	if differs {
		_ = f.transport.Send(name, peer.KindHalts, f.Store.Halts())
	}
}

// digest returns a hash of the document in force and the active halts. It is 0 only if no document is in force.
func (f *Fleet) digest() uint64 {
	c := f.Store.Current()
	if c == nil {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Digest)
	for _, h := range f.Store.Halts() {
		if h.Active() {
			_, _ = d.WriteString(h.Model + "@" + h.Version)
		}
	}
	return d.Sum64() | 1
}

// connected returns the VMs that this VM has a connection to; with far true, only those of other domains.
func (f *Fleet) connected(far bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	now := f.Clock.Now()
	for _, d := range f.members.Domains() {
		if d == f.Domain && far {
			continue
		}
		for _, m := range f.members.Members(now, d) {
			if m.State != member.Gone && f.transport.Reachable(m.Name) {
				out = append(out, m.Name)
			}
		}
	}
	return out
}

func (f *Fleet) broadcast(kind string, body any) {
	for _, n := range f.connected(false) {
		if err := f.transport.Send(n, kind, body); err != nil {
			f.Log.Debug().Err(err).Str("peer", n).Msgf("peer: %s not sent", kind)
		}
	}
}

// connect opens a connection to a VM if there is none, waits for it until ctx ends, and reports whether it is open.
func (f *Fleet) connect(ctx context.Context, name string) bool {
	f.mu.Lock()
	r, ok := f.members.Find(name)
	if ok && !f.members.WantsConnection(name) {
		f.temporary[name] = f.Clock.Now()
	}
	f.mu.Unlock()
	if f.transport.Reachable(name) {
		return true
	}
	if !ok || r.Peer == "" {
		return false
	}
	f.transport.Connect(name, r.Peer)
	for !f.transport.Reachable(name) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(2 * time.Millisecond):
		}
	}
	return true
}

// Halt halts a version and sends the halts to the peers at once.
func (f *Fleet) Halt(model, version, reason string) {
	if f.Store.Halt(model, version, reason) {
		f.broadcast(peer.KindHalts, f.Store.Halts())
	}
}

func (f *Fleet) mergeHalts(h []config.Halt) {
	if changed := f.Store.MergeHalts(h); len(changed) > 0 {
		go f.broadcast(peer.KindHalts, changed)
	}
}

package servers

import (
	"slices"

	"shallotrun/core/work"
)

// setOwn stores what this VM itself received last from a backend server. The lock must be held.
func (r *Registry) setOwn(name string, o observation) {
	for _, vm := range r.list {
		if vm.Name == name {
			o.addr = vm.Addr
		}
	}
	if r.own == nil {
		r.own = map[string]observation{}
	}
	r.own[name] = o
}

// publish computes the view, releases the lock and, if the view changed, calls the subscribers. The lock must be held.
func (r *Registry) publish() {
	v := &view{pools: map[string][]work.VM{}}
	for _, vm := range r.list {
		if vm.Kind == work.KindEntry {
			v.entries = append(v.entries, vm)
			continue
		}
		if r.leaving(vm) {
			vm.State = work.StateLeaving
		}
		v.pools[vm.Pool] = append(v.pools[vm.Pool], vm)
		v.all = append(v.all, vm)
	}
	old := r.view.Load()
	changed := old == nil || !slices.Equal(old.all, v.all) || !slices.Equal(old.entries, v.entries)
	if changed {
		r.view.Store(v)
		r.logChanges(old, v)
	}
	subs := r.subs
	r.mu.Unlock()
	if !changed {
		return
	}
	for _, f := range subs {
		f()
	}
}

// leaving reports whether any source reports the server as leaving. Every state other than live is treated as leaving, because
// a later version of the platform may have further states. The lock must be held.
func (r *Registry) leaving(vm work.VM) bool {
	if vm.State != work.StateLive || r.ownLeaving(vm) {
		return true
	}
	now := r.Clock.Now()
	for _, p := range r.peers {
		m, ok := p.marks[vm.Name]
		if ok && (m.Addr == "" || m.Addr == vm.Addr) && now.Sub(p.at) <= peerLifetime {
			return true
		}
	}
	return false
}

// ownLeaving reports whether the server itself told this VM that it is leaving, and that has not expired. The lock must be held.
func (r *Registry) ownLeaving(vm work.VM) bool {
	o, ok := r.own[vm.Name]
	if !ok || !o.leaving || o.addr != "" && o.addr != vm.Addr {
		return false
	}
	reports := vm.Kind == work.KindEngine
	return o.fromReport || reports || r.Clock.Now().Sub(o.at) <= markLifetime
}

// logChanges logs the backend servers whose state changed, and new ones that are not live.
func (r *Registry) logChanges(old, v *view) {
	was := map[string]string{}
	if old != nil {
		for _, vm := range old.all {
			was[vm.Name] = vm.State
		}
	}
	for _, vm := range v.all {
		if was[vm.Name] == vm.State || was[vm.Name] == "" && vm.State == work.StateLive {
			continue
		}
		r.Log.Info().Str("server", vm.Name).Str("state", vm.State).Msg("servers: state changed")
	}
}

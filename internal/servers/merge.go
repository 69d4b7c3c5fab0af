package servers

import (
	"slices"

	"shallotrun/core/work"
)

// hear records the word of a backend server. The caller holds the lock.
func (r *Registry) hear(name string, o own) {
	for _, vm := range r.list {
		if vm.Name == name {
			o.addr = vm.Addr
		}
	}
	if r.own == nil {
		r.own = map[string]own{}
	}
	r.own[name] = o
}

// rebuild computes the view, releases the lock and tells the subscribers when the view changed.
func (r *Registry) rebuild() {
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
		r.report(old, v)
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

// leaving reports whether any source calls the server leaving. A state that is not live counts as leaving,
// because a later version of the platform may have further states.
func (r *Registry) leaving(vm work.VM) bool {
	if vm.State != work.StateLive || r.ownLeaving(vm) {
		return true
	}
	now := r.Clock.Now()
	for _, p := range r.peers {
		m, ok := p.marks[vm.Name]
		if ok && (m.Addr == "" || m.Addr == vm.Addr) && now.Sub(p.at) <= peerLife {
			return true
		}
	}
	return false
}

func (r *Registry) ownLeaving(vm work.VM) bool {
	o, ok := r.own[vm.Name]
	if !ok || !o.leaving || o.addr != "" && o.addr != vm.Addr {
		return false
	}
	reports := vm.Kind == work.KindEngine
	return o.report || reports || r.Clock.Now().Sub(o.at) <= markLife
}

func (r *Registry) report(old, v *view) {
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

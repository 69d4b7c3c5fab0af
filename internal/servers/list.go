package servers

import (
	"sort"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Delta is a change of the platform's list. A VM that read the list sends it to its peers, because the list of a large fleet is
// too long for every VM to read it often.
type Delta struct {
	Rows    []work.VM  `json:"rows" cbor:"rows"` // added and changed VMs
	Removed []string   `json:"gone" cbor:"gone"` // names of the VMs that are no longer listed
	Age     clock.Span `json:"age" cbor:"age"`   // time since the list was requested
}

// row is a VM of the list, or the name of a VM that was removed from it.
type row struct {
	vm      work.VM
	removed bool
	asked   clock.Time // when the list that this row is from was requested, by Clock.Now
}

// Empty reports whether the delta has no changes.
func (d Delta) Empty() bool { return len(d.Rows)+len(d.Removed) == 0 }

// SetList replaces the list by a whole list of the platform, which was requested at the time at, by Clock.Now. Rows from a list
// requested later stay. The wall clock is not used, because after a backward step newer lists would be ignored. SetList returns
// what changed, and false if the list was not requested later than the last whole list; it is ignored then.
func (r *Registry) SetList(list []work.VM, at clock.Time) (Delta, bool) {
	r.mu.Lock()
	if r.list != nil && at <= r.listed {
		r.mu.Unlock()
		return Delta{}, false
	}
	r.listed = at
	d := Delta{Age: r.Clock.Now().Sub(at)}
	listed := map[string]bool{}
	for _, vm := range list {
		listed[vm.Name] = true
		if r.putRow(row{vm: vm, asked: at}) {
			d.Rows = append(d.Rows, vm)
		}
	}
	for name, old := range r.rows {
		if listed[name] || old.asked >= at {
			continue
		}
		if !old.removed {
			d.Removed = append(d.Removed, name)
		}
		delete(r.rows, name)
	}
	sort.Strings(d.Removed)
	r.rebuildList()
	r.publish()
	return d, true
}

// ApplyDelta applies a delta that a peer sent.
func (r *Registry) ApplyDelta(d Delta) {
	r.mu.Lock()
	at := r.Clock.Now().Add(-max(0, d.Age))
	for _, vm := range d.Rows {
		r.putRow(row{vm: vm, asked: at})
	}
	for _, name := range d.Removed {
		r.putRow(row{vm: work.VM{Name: name}, removed: true, asked: at})
	}
	r.rebuildList()
	r.publish()
}

// LastList returns the VMs with the states that the platform lists, and the age of the last whole list. It serves peers that boot
// during an outage of the platform. The list is nil before the first one, and must not be modified.
func (r *Registry) LastList() ([]work.VM, clock.Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.Clock.Now().Sub(r.listed)
}

// putRow stores a row unless the stored one is at least as new, and reports whether it changed the list. The lock must be held.
func (r *Registry) putRow(x row) bool {
	if r.rows == nil {
		r.rows = map[string]row{}
	}
	old, ok := r.rows[x.vm.Name]
	if ok && old.asked >= x.asked {
		return false
	}
	r.rows[x.vm.Name] = x
	return !ok && !x.removed || ok && (old.removed != x.removed || old.vm != x.vm)
}

// rebuildList makes a new list from the rows. It does not modify the old one, which readers may still use. The lock must be held.
func (r *Registry) rebuildList() {
	list := make([]work.VM, 0, len(r.rows))
	for _, x := range r.rows {
		if !x.removed {
			list = append(list, x.vm)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	r.list = list
}

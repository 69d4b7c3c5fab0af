package servers

import (
	"sort"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Delta is what changed in the platform's list. Peers pass it on, because the list of a large fleet is too
// long for every VM to read it often.
type Delta struct {
	Rows []work.VM  `json:"rows" cbor:"rows"` // new and changed rows
	Gone []string   `json:"gone" cbor:"gone"` // names that are not listed any more
	Age  clock.Span `json:"age" cbor:"age"`   // since the list was asked for
}

// row is a row of the list, or the name of one that is gone.
type row struct {
	vm   work.VM
	gone bool
	at   clock.Time // when the list that showed it was asked for, by Clock.Now
}

// Empty reports whether nothing changed.
func (d Delta) Empty() bool { return len(d.Rows)+len(d.Gone) == 0 }

// List takes a whole list of the platform. at is when it was asked for, by Clock.Now; rows that are known
// from a later list stay. The wall clock is not used, because a step back would freeze the list. It returns
// what changed, and false for a list that is older than the last one.
func (r *Registry) List(list []work.VM, at clock.Time) (Delta, bool) {
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
		if r.put(row{vm: vm, at: at}) {
			d.Rows = append(d.Rows, vm)
		}
	}
	for name, old := range r.rows {
		if listed[name] || old.at >= at {
			continue
		}
		if !old.gone {
			d.Gone = append(d.Gone, name)
		}
		delete(r.rows, name)
	}
	sort.Strings(d.Gone)
	r.order()
	r.rebuild()
	return d, true
}

// Update takes changes that a peer saw in a list.
func (r *Registry) Update(d Delta) {
	r.mu.Lock()
	at := r.Clock.Now().Add(-max(0, d.Age))
	for _, vm := range d.Rows {
		r.put(row{vm: vm, at: at})
	}
	for _, name := range d.Gone {
		r.put(row{vm: work.VM{Name: name}, gone: true, at: at})
	}
	r.order()
	r.rebuild()
}

// Listed returns the list as the platform gave it and the age of the last whole list, for a peer that boots
// while the platform is down. The list is nil before the first one.
func (r *Registry) Listed() ([]work.VM, clock.Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list, r.Clock.Now().Sub(r.listed)
}

// put takes a row unless a later one is known, and reports whether it differs from the one before.
func (r *Registry) put(x row) bool {
	if r.rows == nil {
		r.rows = map[string]row{}
	}
	old, ok := r.rows[x.vm.Name]
	if ok && old.at >= x.at {
		return false
	}
	r.rows[x.vm.Name] = x
	return !ok && !x.gone || ok && (old.gone != x.gone || old.vm != x.vm)
}

// order makes the list from the rows. Readers may hold the old one, so it is made anew.
func (r *Registry) order() {
	list := make([]work.VM, 0, len(r.rows))
	for _, x := range r.rows {
		if !x.gone {
			list = append(list, x.vm)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	r.list = list
}

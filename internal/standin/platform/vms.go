package platform

import (
	"slices"
	"strings"
	"sync"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Row is a row of the list of VMs as the runner registers it.
type Row struct {
	work.VM
	View string `json:"view,omitempty"` // only for callers of this view
	Gone bool   `json:"gone,omitempty"` // removes the row
}

// vms is the list of VMs. Changes become visible after the lag, and not while the list is frozen.
type vms struct {
	mu      sync.Mutex
	pending []pending
	rows    map[string]map[string]work.VM // by view, then by name; view "" is for all
}

type pending struct {
	row Row
	at  clock.Time
}

// set registers a change that becomes visible at a time.
func (v *vms) set(r Row, at clock.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending = append(v.pending, pending{row: r, at: at})
}

// list returns the rows of a view by name.
func (v *vms) list(view string, now clock.Time, frozen bool) []work.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	for !frozen && len(v.pending) > 0 && !now.Before(v.pending[0].at) {
		v.apply(v.pending[0].row)
		v.pending = v.pending[1:]
	}
	all := []work.VM{}
	for name, vm := range v.rows[""] {
		if own, ok := v.rows[view][name]; ok && view != "" {
			own.State, own.Since = vm.State, vm.Since
			vm = own
		}
		all = append(all, vm)
	}
	slices.SortFunc(all, func(a, b work.VM) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (v *vms) apply(r Row) {
	if v.rows == nil {
		v.rows = map[string]map[string]work.VM{}
	}
	if v.rows[r.View] == nil {
		v.rows[r.View] = map[string]work.VM{}
	}
	if r.Gone {
		delete(v.rows[r.View], r.Name)
		return
	}
	v.rows[r.View][r.Name] = r.VM
}

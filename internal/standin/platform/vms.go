package platform

import (
	"slices"
	"strings"
	"sync"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// vms is the list of VMs. Changes become visible after a delay, and not while the list is frozen.
type vms struct {
	mu      sync.Mutex
	pending []pendingChange
	rows    map[string]work.VM
}

type pendingChange struct {
	row       work.VM
	visibleAt clock.Time
}

// set adds a change that becomes visible at the given time. A row without a state removes the VM.
func (v *vms) set(r work.VM, at clock.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pending = append(v.pending, pendingChange{row: r, visibleAt: at})
}

// list returns the visible rows, sorted by name.
func (v *vms) list(now clock.Time, frozen bool) []work.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rows == nil {
		v.rows = map[string]work.VM{}
	}
	for !frozen && len(v.pending) > 0 && !now.Before(v.pending[0].visibleAt) {
		r := v.pending[0].row
		v.pending = v.pending[1:]
		if v.rows[r.Name] = r; r.State == "" {
			delete(v.rows, r.Name)
		}
	}
	all := []work.VM{}
	for _, vm := range v.rows {
		all = append(all, vm)
	}
	slices.SortFunc(all, func(a, b work.VM) int { return strings.Compare(a.Name, b.Name) })
	return all
}

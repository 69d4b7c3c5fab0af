package operator

import (
	"sort"

	"shallotrun/core/clock"
)

// LagLimit is the time within which an accepted document should be in force on every VM. A VM lags if it has an older
// document after that time.
const LagLimit = 8 * clock.Second

// StateGone is the state of an entry VM that is no longer part of the fleet. It is listed, but not included in the
// summary of its failure domain.
const StateGone = "gone"

// Fleet summarizes the documents in force in each failure domain, merged from the status of one or more VMs.
type Fleet struct {
	Newest  Config   `json:"newest"` // highest revision in force on any VM; Since is when the first VM got it
	Domains []Domain `json:"domains"`
	Halts   []Halt   `json:"halts"`
	Refused *Refused `json:"refused,omitempty"`
}

// Domain is the summary of one failure domain.
type Domain struct {
	Name    string  `json:"name"`
	Config  Config  `json:"config"` // lowest revision in force on a VM of the domain; Since is when the last such VM got it
	VMs     []VMRow `json:"vms"`
	Lagging int     `json:"behind"` // VMs that lag

	members int // VMs that are not gone
}

// VMRow is the state of one entry VM.
type VMRow struct {
	VM       string     `json:"vm"`
	State    string     `json:"state"`
	Config   Config     `json:"config"`
	Lagging  bool       `json:"lags"`
	LastSeen clock.Time `json:"heard"` // time of the status or heartbeat that the row is from
}

// Lagging reports whether any VM lags.
func (f Fleet) Lagging() bool {
	for _, d := range f.Domains {
		if d.Lagging > 0 {
			return true
		}
	}
	return false
}

// MergeStatuses merges the status of several VMs. The status that a VM reports of itself takes precedence over what its
// peers report of it, and among peers the one with the latest heartbeat takes precedence.
func MergeStatuses(all []Status, now clock.Time) Fleet {
	rows, domains := collect(all)
	var f Fleet
	for _, r := range rows {
		if r.State == StateGone {
			continue
		}
		c := r.Config
		newer := c.Revision > f.Newest.Revision
		first := c.Revision == f.Newest.Revision && c.Since != 0 && c.Since < f.Newest.Since
		if newer || first {
			f.Newest = c
		}
	}
	byName := map[string]*Domain{}
	for name, r := range rows {
		d := byName[domains[name]]
		if d == nil {
			d = &Domain{Name: domains[name]}
			byName[d.Name] = d
		}
		d.add(r, f.Newest, now)
	}
	for _, d := range byName {
		sort.Slice(d.VMs, func(i, j int) bool { return d.VMs[i].VM < d.VMs[j].VM })
		f.Domains = append(f.Domains, *d)
	}
	sort.Slice(f.Domains, func(i, j int) bool { return f.Domains[i].Name < f.Domains[j].Name })
	f.mergeReports(all)
	return f
}

// add adds a VM to the summary of its failure domain.
func (d *Domain) add(r VMRow, newest Config, now clock.Time) {
	r.Lagging = r.State != StateGone && r.Config.Revision < newest.Revision && now.Sub(newest.Since) > LagLimit
	d.VMs = append(d.VMs, r)
	if r.Lagging {
		d.Lagging++
	}
	if r.State == StateGone {
		return
	}
	older := r.Config.Revision < d.Config.Revision
	later := r.Config.Revision == d.Config.Revision && r.Config.Since > d.Config.Since
	if d.members == 0 || older || later {
		d.Config = r.Config
	}
	d.members++
}

// collect returns the row and the failure domain of each VM by name.
func collect(all []Status) (rows map[string]VMRow, domains map[string]string) {
	rows, domains = map[string]VMRow{}, map[string]string{}
	for _, s := range all {
		for _, p := range s.Peers {
			if old, ok := rows[p.VM]; ok && old.LastSeen >= p.LastHeartbeat {
				continue
			}
			rows[p.VM] = VMRow{VM: p.VM, State: p.State, Config: p.Config, LastSeen: p.LastHeartbeat}
			domains[p.VM] = p.Domain
		}
	}
	for _, s := range all {
		state := "ready"
		if !s.Ready {
			state = s.Reason
		}
		rows[s.VM] = VMRow{VM: s.VM, State: state, Config: s.Config, LastSeen: s.At}
		domains[s.VM] = s.Domain
	}
	return rows, domains
}

// mergeReports sets the halts of all VMs, without duplicates, and the newest refused document.
func (f *Fleet) mergeReports(all []Status) {
	seen := map[string]bool{}
	for _, s := range all {
		for _, h := range s.Halts {
			if key := h.Model + "@" + h.Version; !seen[key] {
				seen[key] = true
				f.Halts = append(f.Halts, h)
			}
		}
		if s.Refused != nil && (f.Refused == nil || s.Refused.Revision > f.Refused.Revision) {
			f.Refused = s.Refused
		}
	}
}

package load

import "shallotrun/core/clock"

// Use is what one VM, or several together, have under way at a backend server.
type Use struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Open   int        // requests that have not ended
	Unread int        // prompt tokens of those that have no answer yet, as if the largest model read them
	Quiet  clock.Span // since the last byte came from the server
	Slow   int        // sum of the logarithms of how much slower than usual its streams were, in hundredths
	Paced  int        // number of these streams
}

// Board holds the reports of other VMs and their sums, which change with each report: many VMs ask for them. Keep is set before
// the first call.
type Board struct {
	Keep clock.Span // for which a report counts

	reports map[string]report // by VM
	sums    map[string]sum    // by server
}

type report struct {
	at   clock.Time
	uses []Use
}

// sum is what all reports that count say about a server.
type sum struct {
	vms, open, unread, slow, paced int
	heard                          clock.Time // when the last byte came from the server to any VM
}

// Put takes what a VM reports, in place of what it reported before. The uses are not changed afterwards.
func (b *Board) Put(now clock.Time, from string, uses []Use) {
	if b.reports == nil {
		b.reports, b.sums = make(map[string]report), make(map[string]sum)
	}
	b.remove(from)
	b.reports[from] = report{now, uses}
	for _, u := range uses {
		s := b.sums[u.Server]
		heard := now.Add(-u.Quiet)
		if s.vms > 0 {
			heard = max(heard, s.heard)
		}
		b.sums[u.Server] = sum{s.vms + 1, s.open + u.Open, s.unread + u.Unread, s.slow + u.Slow, s.paced + u.Paced, heard}
	}
}

// remove takes the report of a VM out of the sums.
func (b *Board) remove(from string) {
	for _, u := range b.reports[from].uses {
		s := b.sums[u.Server]
		if s.vms--; s.vms == 0 {
			delete(b.sums, u.Server)
			continue
		}
		s.open, s.unread, s.slow, s.paced = s.open-u.Open, s.unread-u.Unread, s.slow-u.Slow, s.paced-u.Paced
		b.sums[u.Server] = s
	}
	delete(b.reports, from)
}

// Servers returns the number of servers that the reports name.
func (b *Board) Servers() int { return len(b.sums) }

// Sum returns the sums of all reports that still count, without that of one VM. The time since the last byte of a server is
// that of all VMs.
func (b *Board) Sum(now clock.Time, without string) View {
	for name, r := range b.reports {
		if now.Sub(r.at) > b.Keep {
			b.remove(name)
		}
	}
	v := View{At: now, Uses: make(map[string]Use, len(b.sums))}
	for server, s := range b.sums {
		v.Uses[server] = Use{Server: server, Open: s.open, Unread: s.unread, Quiet: now.Sub(s.heard), Slow: s.slow, Paced: s.paced}
	}
	for _, u := range b.reports[without].uses {
		if b.sums[u.Server].vms == 1 {
			delete(v.Uses, u.Server)
			continue
		}
		s := v.Uses[u.Server]
		s.Open, s.Unread, s.Slow, s.Paced = s.Open-u.Open, s.Unread-u.Unread, s.Slow-u.Slow, s.Paced-u.Paced
		v.Uses[u.Server] = s
	}
	return v
}

// View is the sum of some reports at a time.
type View struct {
	At   clock.Time
	Uses map[string]Use // by server
}

// Add includes uses that were counted some time before the view was taken.
func (v *View) Add(uses []Use, age clock.Span) {
	for _, u := range uses {
		u.Quiet += age
		if sum, ok := v.Uses[u.Server]; ok {
			u.Open += sum.Open
			u.Unread += sum.Unread
			u.Slow += sum.Slow
			u.Paced += sum.Paced
			u.Quiet = min(u.Quiet, sum.Quiet)
		}
		v.Uses[u.Server] = u
	}
}

// List returns the sums in any order.
func (v *View) List() []Use {
	out := make([]Use, 0, len(v.Uses))
	for _, u := range v.Uses {
		out = append(out, u)
	}
	return out
}

package load

import "shallotrun/core/clock"

// Use is what one VM, or several together, have under way at a backend server.
type Use struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Open   int        // requests that have not ended
	Unread int        // prompt tokens of those that have no answer yet, as if the largest model read them
	Quiet  clock.Span // since the last byte came from the server
}

// Board holds the reports of other VMs. Keep is set before the first call.
type Board struct {
	Keep clock.Span // for which a report counts

	reports map[string]report // by VM
}

type report struct {
	at   clock.Time
	uses []Use
}

// Put takes what a VM reports, in place of what it reported before. The uses are not changed afterwards.
func (b *Board) Put(now clock.Time, from string, uses []Use) {
	if b.reports == nil {
		b.reports = make(map[string]report)
	}
	b.reports[from] = report{now, uses}
}

// Sum returns the sums of all reports that still count, without that of one VM.
func (b *Board) Sum(now clock.Time, without string) View {
	v := View{At: now, Uses: make(map[string]Use)}
	for name, r := range b.reports {
		age := now.Sub(r.at)
		if age > b.Keep {
			delete(b.reports, name)
			continue
		}
		if name != without {
			v.add(r.uses, age)
		}
	}
	return v
}

// View is the sum of some reports at a time.
type View struct {
	At   clock.Time
	Uses map[string]Use // by server
}

// Add includes uses that were counted when the view was taken.
func (v *View) Add(uses []Use) { v.add(uses, 0) }

func (v *View) add(uses []Use, age clock.Span) {
	for _, u := range uses {
		u.Quiet += age
		if sum, ok := v.Uses[u.Server]; ok {
			u.Open += sum.Open
			u.Unread += sum.Unread
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

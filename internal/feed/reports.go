package feed

import (
	"shallotrun/core/canary"
	"shallotrun/core/clock"
)

// peerReports are the latest reports of another VM.
type peerReports struct {
	receivedAt clock.Time
	reports    []OrderReport
}

// reportTTL is the age after which the reports of another VM are left out of the sums: a VM that has begun to follow another one
// is included there. It allows for two lost queries.
const reportTTL = 1200 * clock.Millisecond

// upstream is the key of the reports over all VMs except this one and those that follow it.
const upstream = ""

// OrderReport is a VM's view of a running order: its own results or sums of several VMs' results, and its verdict.
type OrderReport struct {
	Service        string
	CreateRevision uint64 `cbor:"Made"` // revision of the store at which the order was created
	Era            uint64 // of that revision, 0 if it is not known
	Tallies        []canary.Tally
	Times          []canary.Times // baseline times of the old version
	Verdict        string         // why the new version is bad, "" if it is not known to be
}

// sameOrder reports whether two reports are of the same order. The store may give a revision out twice, in different eras.
func (o OrderReport) sameOrder(p OrderReport) bool {
	return o.Service == p.Service && o.CreateRevision == p.CreateRevision && (o.Era == p.Era || o.Era == 0 || p.Era == 0)
}

// Report returns the reports of the running orders, with the results of this VM and of those that follow it.
func (b *Rollouts) Report(now clock.Time) []OrderReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reportsWith(now, func(name string) bool { return name != upstream })
}

// ownReports returns the reports of the running orders, with the results of this VM.
func (b *Rollouts) ownReports() (out []OrderReport) {
	for _, r := range b.rollouts {
		if r.Order.State == canary.Running {
			out = append(out, OrderReport{
				Service: r.Order.Service, CreateRevision: r.Order.CreateRevision, Era: r.Order.Era,
				Tallies: r.Tallies(), Times: r.Times(), Verdict: r.Verdict(),
			})
		}
	}
	return out
}

// Exchange merges the reports of a VM that follows this one, and returns the sums over all other VMs known to this one.
func (b *Rollouts) Exchange(now clock.Time, from string, reports []OrderReport) []OrderReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.merge(now, from, reports)
	return b.reportsWith(now, func(name string) bool { return name != from })
}

// SetUpstream merges the reports of the VM that this one follows.
func (b *Rollouts) SetUpstream(now clock.Time, reports []OrderReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.merge(now, upstream, reports)
}

// merge replaces the reports of another VM and updates the rollouts with its results, baseline times and verdicts.
func (b *Rollouts) merge(now clock.Time, from string, reports []OrderReport) {
	if b.peers == nil {
		b.peers = make(map[string]peerReports)
	}
	b.peers[from] = peerReports{now, reports}
	running := false
	for _, own := range b.ownReports() {
		running = true
		r := b.rollouts[own.Service]
		r.Merge(b.sumTallies(now, own, nil, func(string) bool { return true }))
		for _, p := range reports {
			if p.sameOrder(own) {
				r.AdoptTimes(p.Times)
				r.AdoptVerdict(p.Verdict)
			}
		}
	}
	if !running {
		clear(b.peers)
	}
}

// reportsWith returns this VM's reports with the results of the included peers added.
func (b *Rollouts) reportsWith(now clock.Time, include func(name string) bool) []OrderReport {
	out := b.ownReports()
	for i := range out {
		out[i].Tallies = b.sumTallies(now, out[i], out[i].Tallies, include)
	}
	return out
}

// sumTallies adds to own the current results of the included peers for the order of a report.
func (b *Rollouts) sumTallies(now clock.Time, o OrderReport, own []canary.Tally, include func(name string) bool) []canary.Tally {
	series := [][]canary.Tally{own}
	for name, peer := range b.peers {
		if !include(name) || now.Sub(peer.receivedAt) > reportTTL {
			continue
		}
		for _, p := range peer.reports {
			if p.sameOrder(o) {
				series = append(series, p.Tallies)
			}
		}
	}
	return canary.Sum(series...)
}

package quarantine

import "shallotrun/core/clock"

// peer is the ledger of the VM that this one follows.
type peer struct {
	id    uint64 // 0 for none
	rev   uint64 // revision up to which this ledger has its records
	acked uint64 // revision up to which it has the records of this ledger
}

// Query returns the message to the VM that this one follows.
func (l *Ledger) Query(now clock.Time) Message {
	return Message{
		Ledger: l.ID, Rev: l.rev, PeerLedger: l.upstream.id, PeerRev: l.upstream.rev,
		Reports: l.changesSince(now, l.upstream.acked, l.upstream.id),
	}
}

// Reply merges the query of a VM that follows this one and returns the reply.
func (l *Ledger) Reply(now clock.Time, q Message) Message {
	l.merge(now, q)
	since := uint64(0)
	if q.PeerLedger == l.ID {
		since = q.PeerRev
	}
	return Message{Ledger: l.ID, Rev: l.rev, PeerLedger: q.Ledger, PeerRev: q.Rev, Reports: l.changesSince(now, since, q.Ledger)}
}

// Accept merges the reply of the VM that this one follows. A ledger that did not reply before gets all records with the next
// query.
func (l *Ledger) Accept(now clock.Time, m Message) {
	if m.Ledger == 0 {
		return // of a VM without a ledger
	}
	acked := m.PeerRev
	if m.Ledger != l.upstream.id {
		acked = 0
	}
	l.upstream = peer{id: m.Ledger, rev: m.Rev, acked: acked}
	l.merge(now, m)
}

// changesSince returns the records that changed after a revision, except those whose last change came from the receiver.
func (l *Ledger) changesSince(now clock.Time, rev, receiver uint64) (out []Report) {
	for _, r := range l.records {
		if r.rev > rev && r.active(now) && (r.source == 0 || r.source != receiver) {
			out = append(out, Report{Crash: r.Crash, Cleared: r.cleared, Age: now.Sub(r.at), SinceRefusal: now.Sub(r.lastRefusal)})
		}
	}
	return out
}

// merge merges the records of another ledger.
func (l *Ledger) merge(now clock.Time, m Message) {
	for _, p := range m.Reports[:min(len(m.Reports), maxRecords)] {
		if len(p.Parts) > maxParts || p.Age < 0 {
			continue
		}
		refusal := now.Add(-min(max(p.SinceRefusal, 0), p.Age))
		r := l.find(p.Crash)
		if r == nil {
			r = &record{Crash: p.Crash, at: now.Add(-p.Age), lastRefusal: refusal, cleared: p.Cleared, source: m.Ledger}
			if r.active(now) {
				l.add(now, r)
				l.clearStarted(r)
			}
			continue
		}
		if p.Cleared&^r.cleared == 0 && refusal.Sub(r.lastRefusal) < refusalStep {
			continue
		}
		source := m.Ledger
		if r.cleared&^p.Cleared != 0 || r.lastRefusal.Sub(refusal) >= refusalStep {
			source = 0 // the sender lacks what this ledger had
		}
		r.cleared |= p.Cleared
		r.lastRefusal = max(r.lastRefusal, refusal)
		l.changed(r, source)
	}
}

// clearStarted clears the parts of a crash with which this VM started an answer after it.
func (l *Ledger) clearStarted(r *record) {
	var parts []string
	for _, p := range r.Parts {
		if at, ok := l.started.get(r.Service, p); ok && at > r.at {
			parts = append(parts, p)
		}
	}
	l.clear(r, parts)
}

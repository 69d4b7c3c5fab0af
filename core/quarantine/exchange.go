package quarantine

import (
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/delta"
)

// Query returns the message to the VM that this one follows.
func (l *Ledger) Query(now clock.Time) Message {
	h, to := l.log.Query()
	return Message{Header: h, Reports: l.changes(now, to)}
}

// Reply merges the query of a VM that follows this one and returns the reply.
func (l *Ledger) Reply(now clock.Time, q Message) Message {
	l.merge(now, q)
	h, to := l.log.Reply(q.Header)
	return Message{Header: h, Reports: l.changes(now, to)}
}

// Accept merges the reply of the VM that this one follows.
func (l *Ledger) Accept(now clock.Time, m Message) {
	if l.log.Accept(m.Header) {
		l.merge(now, m)
	}
}

// changes returns the records that the receiver of a message lacks.
func (l *Ledger) changes(now clock.Time, to delta.Receiver) (out []Report) {
	for _, r := range l.records {
		if to.Lacks(r.rev, r.source) && r.active(now) {
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
		if len(p.Rest) > maxRest || !slices.IsSorted(p.Rest) {
			p.Rest = nil
		}
		refusal := now.Add(-min(max(p.SinceRefusal, 0), p.Age))
		r := l.find(p.Crash)
		if r == nil {
			r = &record{Crash: p.Crash, at: now.Add(-p.Age), lastRefusal: refusal, cleared: p.Cleared, source: m.Ledger}
			if r.active(now) {
				l.add(now, r)
			}
			continue
		}
		trial := p.Trial && !r.Trial              // a VM of an earlier build passes crashes on without it
		learned := p.Rest != nil && r.Rest == nil // and without this
		rest := r.Rest
		switch {
		case learned:
			r.Body, rest = p.Body, p.Rest
		case p.Rest != nil:
			rest = without(r.Rest, without(r.Rest, p.Rest)) // never nil, which would mean that it is not known
		}
		if !trial && !learned && len(rest) == len(r.Rest) && p.Cleared&^r.cleared == 0 && refusal.Sub(r.lastRefusal) < refusalStep {
			continue
		}
		source := m.Ledger
		if r.cleared&^p.Cleared != 0 || r.lastRefusal.Sub(refusal) >= refusalStep || len(rest) < len(p.Rest) || p.Rest == nil && rest != nil {
			source = 0 // the sender lacks what this ledger had
		}
		r.Trial = r.Trial || p.Trial
		r.cleared |= p.Cleared
		r.Rest = rest
		r.lastRefusal = max(r.lastRefusal, refusal)
		l.changed(r, source)
		if learned {
			l.started.learn(r.Service, r.Rest)
			l.clearStarted(r)
			l.limitRest()
		}
	}
}

// clearStarted clears the parts of a crash with which this VM started an answer after it.
func (l *Ledger) clearStarted(r *record) {
	var parts []uint64
	for _, h := range slices.Concat(r.hashes, r.Rest) {
		if at, ok := l.started.get(r.Service, h); ok && at > r.at {
			parts = append(parts, h)
		}
	}
	slices.Sort(parts)
	l.clear(r, parts)
}

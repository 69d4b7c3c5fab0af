package queue

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const (
	// A deficit of one slot for creditPerSlot weighs as much as one slot that is missing now. It is short compared to the 10 s
	// over which the minimum shares are guaranteed.
	creditPerSlot = 2 * clock.Second
	// Credit is limited to this many slot milliseconds for each slot of the share, positive or negative, so that a rank that
	// could not use its share for a long time does not start a burst later.
	maxCreditPerSlot = float64(10 * clock.Second)
)

// dueMinimumShare returns the head of a lower rank that is below its minimum share, or nil if there is none.
func (q *Queue) dueMinimumShare(p Fair) *entry {
	for r := work.Normal; r <= work.Batch; r++ {
		e := q.ranks[r].head()
		if e != nil && q.HoldFrom > 0 && q.usesDone {
			if q.ranks[r].running < q.HoldLimit[r] {
				return e
			}
			continue
		}
		if e != nil && p.share(r) > 0 && q.contended(r) && q.shareDue(p, e) {
			return e
		}
	}
	return nil
}

// shareDue reports whether the rank of an entry is below its minimum share by at least half of the entry. With half of it the
// share varies around its target; with a whole entry it would always be one item below the target.
func (q *Queue) shareDue(p Fair, e *entry) bool {
	l := &q.ranks[e.Rank]
	if !q.usesDone {
		return l.credit >= float64(e.Cost)/2
	}
	missing := p.share(e.Rank)*float64(q.running()+1) - float64(l.running)
	return missing+l.credit/float64(creditPerSlot) >= 0.5
}

// contended reports whether work more urgent than r waits.
func (q *Queue) contended(r work.Rank) bool {
	for u := range r {
		if q.ranks[u].length > 0 {
			return true
		}
	}
	return false
}

// running returns the number of running requests of all ranks.
func (q *Queue) running() int {
	n := 0
	for r := range q.ranks {
		n += q.ranks[r].running
	}
	return n
}

// updateCredits updates the credits in slot milliseconds. A credit changes only while more urgent work waits: service that no
// other rank wanted is not charged to a rank.
func (q *Queue) updateCredits(now clock.Time) {
	d := float64(now.Sub(q.creditsUpdated))
	q.creditsUpdated = max(q.creditsUpdated, now)
	p, ok := q.Policy.(Fair)
	if !ok || !q.usesDone || d <= 0 {
		return
	}
	for r := work.Normal; r <= work.Batch; r++ {
		l := &q.ranks[r]
		if l.length == 0 || !q.contended(r) {
			continue
		}
		target := p.share(r) * float64(q.running())
		most := maxCreditPerSlot * max(target, 1)
		l.credit = min(max(l.credit+d*(target-float64(l.running)), -most), most)
	}
}

// chargeCredits updates the credits in tokens for an entry that is about to be served.
func (q *Queue) chargeCredits(e *entry) {
	p, ok := q.Policy.(Fair)
	if !ok || q.usesDone {
		return
	}
	for r := work.Normal; r <= work.Batch; r++ {
		l := &q.ranks[r]
		if l.length == 0 || !q.contended(r) {
			continue
		}
		l.credit += p.share(r) * float64(e.Cost)
		if r == e.Rank {
			l.credit -= float64(e.Cost)
		}
	}
}

package bill

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
)

// A copy holder decides between owner and taker for requests that started at most maxRequestAge ago, and keeps its
// decisions for the time retention. It measures both by its own clock, but the start is a time of the first VM's clock:
// a request whose start is more than maxSkew in the future is answered with Unknown.
const (
	maxRequestAge = 30 * clock.Minute
	maxSkew       = 5 * clock.Minute
	retention     = 60 * clock.Minute // has to be longer than maxRequestAge and maxSkew together

	maxCopies    = 100000 // per generation; two generations take about 2 MB
	maxTakes     = 10000
	recheckAfter = 10 * clock.Minute // age at which a copy is checked against the platform's store
)

// history is what a copy holder has answered to copies and takes. It has two generations. When the present one has the age
// retention, or the copies in it reach maxCopies, it becomes the older one, and the one before it is dropped.
type history struct {
	copies, copiesOld       map[uint64]struct{} // hashes of requests of which a copy was accepted
	takes, takesOld         map[string]struct{} // requests that were taken over
	copiesSince, takesSince clock.Time          // start of the present generation
	forgottenUntil          clock.Time          // copies of requests that started until then may have been dropped early
}

// HandleCopy handles a copy from another VM.
func (r *Recorder) HandleCopy(now clock.Time, from Holder, c Copy) Reply {
	r.init()
	r.history.rotate(now)
	from.StartedAt = 0
	if c.Batch == "" {
		if s := r.singles[c.Bill.Request]; s == nil {
			r.singles[c.Bill.Request] = &single{bill: c.Bill, owner: from, due: now.Add(recheckAfter)}
		}
		return Reply{Accepted}
	}
	p := r.batches[c.Batch]
	if p != nil && slices.ContainsFunc(p.bills, func(i *item) bool { return i.accepted && i.bill.Request == c.Bill.Request }) {
		return Reply{Accepted}
	}
	if p != nil && p.closed != 0 {
		return Reply{Closed}
	}
	if c.Holder != "" {
		h, err := ParseHolder(c.Holder)
		if err != nil || !r.covers(now, h) {
			return Reply{Unknown}
		}
		if r.history.taken(c.Bill.Request) {
			return Reply{Refused}
		}
		r.history.copies[xxhash.Sum64String(c.Bill.Request)] = struct{}{}
	}
	if p == nil {
		p = &batch{name: c.Batch, owner: from, opened: now}
		r.batches[c.Batch] = p
	}
	p.bills = append(p.bills, &item{bill: c.Bill, accepted: true})
	return Reply{Accepted}
}

// HandleTake handles a take: another VM asks for the right to bill a request whose copy holder is this VM.
func (r *Recorder) HandleTake(now clock.Time, t Take) Reply {
	r.init()
	r.history.rotate(now)
	h, err := ParseHolder(t.Holder)
	if err != nil || !r.covers(now, h) || h.StartedAt <= r.history.forgottenUntil {
		return Reply{Unknown}
	}
	if r.history.hasCopy(t.Request) {
		return Reply{Denied}
	}
	if !r.history.taken(t.Request) {
		if len(r.history.takes) >= maxTakes {
			return Reply{Unknown}
		}
		r.history.takes[t.Request] = struct{}{}
	}
	return Reply{Granted}
}

// HandleStored drops copies of bills that the platform's store has, as their owner reports.
func (r *Recorder) HandleStored(from Holder, s Stored) Reply {
	from.StartedAt = 0
	if p := r.batches[s.Batch]; p != nil && p.owner == from {
		delete(r.batches, s.Batch)
	}
	if a := r.singles[s.Request]; a != nil && a.owner == from {
		delete(r.singles, s.Request)
	}
	return Reply{Accepted}
}

// covers reports whether this VM can decide who bills a request with the copy holder h.
func (r *Recorder) covers(now clock.Time, h Holder) bool {
	return h.Name == r.Self && h.Inc == r.Inc && now.Sub(h.StartedAt) <= maxRequestAge && h.StartedAt.Sub(now) <= maxSkew
}

// rotate starts new generations when the present ones are old enough. A generation of copies that is full earlier ends too;
// forgottenUntil then excludes the requests whose copies may be dropped too early.
func (g *history) rotate(now clock.Time) {
	switch full := len(g.copies) >= maxCopies; {
	case g.copies == nil:
		g.copies, g.copiesSince = map[uint64]struct{}{}, now
	case full && now.Sub(g.copiesSince) < retention:
		g.forgottenUntil = g.copiesSince.Add(maxSkew)
		fallthrough
	case now.Sub(g.copiesSince) >= retention:
		g.copiesOld, g.copies, g.copiesSince = g.copies, map[uint64]struct{}{}, now
	}
	if g.takes == nil || now.Sub(g.takesSince) >= retention {
		g.takesOld, g.takes, g.takesSince = g.takes, map[string]struct{}{}, now
	}
}

func (g *history) hasCopy(request string) bool {
	h := xxhash.Sum64String(request)
	_, now := g.copies[h]
	_, old := g.copiesOld[h]
	return now || old
}

func (g *history) taken(request string) bool {
	_, now := g.takes[request]
	_, old := g.takesOld[request]
	return now || old
}

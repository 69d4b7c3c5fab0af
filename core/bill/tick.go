package bill

import (
	"maps"
	"slices"
	"strings"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// singlePrefix starts the name of an object for the bill of one request. Names of batches start with the name of a VM,
// and no VM may be called "request".
const singlePrefix = "request-"

// Tick carries out what is due at the time now. Call it several times a second.
func (r *Recorder) Tick(now clock.Time) []Command {
	r.init()
	r.history.rotate(now)
	out := r.tickTakes(now)
	for _, n := range sortedKeys(r.batches) {
		if p := r.batches[n]; p.owner == r.self() {
			out = append(out, r.tickOwn(now, p)...)
		} else {
			out = append(out, r.tickCopied(now, p)...)
		}
	}
	for _, request := range sortedKeys(r.singles) {
		s := r.singles[request]
		if s.owner != r.self() && (r.Lost(s.owner.Name, s.owner.Inc) || s.due <= now) {
			s.owner, s.due = r.self(), now
		}
		if s.owner != r.self() {
			continue
		}
		// A copy is sent only after an attempt that failed: usually the object is created before a copy would arrive.
		if !s.copied && (s.createSent || r.stopping) && now.Sub(s.copySent) >= retryInterval {
			if s.holder = r.replaceLost(s.holder); s.holder.Name != "" {
				s.copySent = now
				out = append(out, SendCopy{To: s.holder.Name, Copy: Copy{Bill: s.bill}})
			}
		}
		if s.due <= now {
			s.due, s.createSent = now.Add(retryInterval), true
			out = append(out, Create{Name: singlePrefix + request, Bills: []work.Bill{s.bill}})
		}
	}
	return out
}

// CreateAnswered handles the result of Create.
func (r *Recorder) CreateAnswered(now clock.Time, name string, o Outcome) []Command {
	if request, ok := strings.CutPrefix(name, singlePrefix); ok {
		s := r.singles[request]
		if s == nil || o == NoAnswer {
			return nil
		}
		delete(r.singles, request)
		if s.origin != nil {
			s.origin.pending--
		}
		if s.holder.Name != "" {
			return []Command{SendStored{To: s.holder.Name, Stored: Stored{Request: request}}}
		}
		return nil
	}
	p := r.batches[name]
	if p == nil || p.created {
		return nil
	}
	switch o {
	case Created:
		r.resolve(now, p, func(i *item) bool { return i.accepted })
	case Exists:
		p.mustRead = true
		return []Command{Read{Name: name}}
	}
	return nil
}

// ReadAnswered handles the result of Read: the requests in the object.
func (r *Recorder) ReadAnswered(now clock.Time, name string, requests []string) {
	p := r.batches[name]
	if p == nil || p.created {
		return
	}
	in := make(map[string]bool, len(requests))
	for _, id := range requests {
		in[id] = true
	}
	r.resolve(now, p, func(i *item) bool { return in[i.bill.Request] })
	if p.owner != r.self() {
		delete(r.batches, name)
		for _, s := range r.singles {
			if s.origin == p {
				s.origin = nil
			}
		}
	}
}

// resolve ends a batch whose object exists: each bill that is not in it goes into the object of its request.
func (r *Recorder) resolve(now clock.Time, p *batch, in func(*item) bool) {
	p.created = true
	r.close(now, p)
	for _, i := range p.bills {
		delete(r.batched, i.bill.Request)
		if !in(i) {
			r.addSingle(i.bill, now, p)
		}
	}
	p.bills = nil
}

func (r *Recorder) tickOwn(now clock.Time, p *batch) []Command {
	if p.closed == 0 && now.Sub(p.opened) >= r.MaxAge {
		r.close(now, p)
	}
	if p.created {
		if p.pending > 0 {
			return nil
		}
		delete(r.batches, p.name)
		if p.holder.Name == "" {
			return nil
		}
		return []Command{SendStored{To: p.holder.Name, Stored: Stored{Batch: p.name}}}
	}
	if p.closed != 0 && len(p.bills) == 0 {
		delete(r.batches, p.name) // every copy was refused, so that the copy holder has none
		return nil
	}
	out := r.resendCopies(now, p)
	waits := slices.ContainsFunc(p.bills, func(i *item) bool { return !i.accepted })
	if p.closed == 0 || waits && p.attempted == 0 && now.Sub(p.closed) < ackWait {
		return out
	}
	if p.attempted != 0 && now.Sub(p.attempted) < retryInterval {
		return out
	}
	p.attempted = now
	if p.mustRead {
		return append(out, Read{Name: p.name})
	}
	var bills []work.Bill
	for _, i := range p.bills {
		if i.accepted {
			bills = append(bills, i.bill)
		}
	}
	return append(out, Create{Name: p.name, Bills: bills})
}

// resendCopies sends copies without an acknowledgement again. If the copy holder is lost, another VM gets copies of the
// bills that the lost one had acknowledged.
func (r *Recorder) resendCopies(now clock.Time, p *batch) []Command {
	lost := p.holder.Name == "" || r.Lost(p.holder.Name, p.holder.Inc)
	if lost {
		h := r.PickHolder()
		if h.Name == "" {
			return nil
		}
		p.holder = Holder{Name: h.Name, Inc: h.Inc}
		for _, i := range p.bills {
			i.copied, i.copySent = false, 0
		}
		r.close(now, p) // later requests have another copy holder, in their resume tokens too
	}
	var out []Command
	for _, i := range p.bills {
		if i.copied || now.Sub(i.copySent) < retryInterval {
			continue
		}
		c := Copy{Batch: p.name, Bill: i.bill}
		if !i.accepted {
			h, err := ParseHolder(i.requestHolder)
			if err != nil || h.Name != p.holder.Name || h.Inc != p.holder.Inc || p.attempted != 0 {
				continue // only the request's own copy holder can tell that no other VM took it over
			}
			c.Holder = i.requestHolder
		}
		i.copySent = now
		out = append(out, SendCopy{To: p.holder.Name, Copy: c})
	}
	return out
}

// tickCopied checks a batch whose copies this VM keeps. It takes the batch over if the owner is lost.
func (r *Recorder) tickCopied(now clock.Time, p *batch) []Command {
	if r.Lost(p.owner.Name, p.owner.Inc) {
		p.owner, p.closed, p.attempted = r.self(), now, 0
		return r.tickOwn(now, p)
	}
	if now.Sub(max(p.opened, p.attempted)) >= recheckAfter {
		p.attempted = now // the owner's Stored may have been lost
		return []Command{Read{Name: p.name}}
	}
	return nil
}

// replaceLost returns h, or the result of PickHolder if h is lost or has no name.
func (r *Recorder) replaceLost(h Holder) Holder {
	if h.Name == "" || r.Lost(h.Name, h.Inc) {
		return r.PickHolder()
	}
	return h
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

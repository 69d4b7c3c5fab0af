package bill

import (
	"maps"
	"slices"
	"strings"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// alonePrefix starts the name of an object for one request. Batches are named after VMs; a VM may not be
// called "request".
const alonePrefix = "request-"

// Tick makes time pass. It is due several times a second.
func (d *Desk) Tick(now clock.Time) []Command {
	d.init()
	d.guard.turn(now)
	out := d.tickTakes(now)
	for _, n := range sorted(d.batches) {
		if p := d.batches[n]; p.owner == d.self() {
			out = append(out, d.tickOwn(now, p)...)
		} else {
			out = append(out, d.tickCopies(now, p)...)
		}
	}
	for _, request := range sorted(d.alone) {
		s := d.alone[request]
		if s.owner != d.self() && (d.Lost(s.owner.Name, s.owner.Inc) || s.due <= now) {
			s.owner, s.due = d.self(), now
		}
		if s.owner != d.self() {
			continue
		}
		// A copy is made only after a try that failed: in the usual case the object is there sooner.
		if !s.copied && (s.tried || d.stopping) && now.Sub(s.sent) >= retryEvery {
			if s.holder = d.keeper(s.holder); s.holder.Name != "" {
				s.sent = now
				out = append(out, SendCopy{To: s.holder.Name, Copy: Copy{Bill: s.bill}})
			}
		}
		if s.due <= now {
			s.due, s.tried = now.Add(retryEvery), true
			out = append(out, Create{Name: alonePrefix + request, Bills: []work.Bill{s.bill}})
		}
	}
	return out
}

// Created takes the result of Create.
func (d *Desk) Created(now clock.Time, name string, o Outcome) []Command {
	if request, ok := strings.CutPrefix(name, alonePrefix); ok {
		s := d.alone[request]
		if s == nil || o == Unclear {
			return nil
		}
		delete(d.alone, request)
		if s.from != nil {
			s.from.out--
		}
		if s.holder.Name != "" {
			return []Command{SendSealed{To: s.holder.Name, Sealed: Sealed{Request: request}}}
		}
		return nil
	}
	p := d.batches[name]
	if p == nil || p.made {
		return nil
	}
	switch o {
	case Made:
		d.split(now, p, func(i *item) bool { return i.held })
	case Exists:
		p.read = true
		return []Command{Read{Name: name}}
	}
	return nil
}

// Content takes the requests of an object that was read.
func (d *Desk) Content(now clock.Time, name string, requests []string) {
	p := d.batches[name]
	if p == nil || p.made {
		return
	}
	in := make(map[string]bool, len(requests))
	for _, r := range requests {
		in[r] = true
	}
	d.split(now, p, func(i *item) bool { return in[i.bill.Request] })
	if p.owner != d.self() {
		delete(d.batches, name)
		for _, s := range d.alone {
			if s.from == p {
				s.from = nil
			}
		}
	}
}

// split ends a batch whose object exists: the bills that are not in it go alone.
func (d *Desk) split(now clock.Time, p *batch, in func(*item) bool) {
	p.made = true
	d.close(now, p)
	for _, i := range p.bills {
		delete(d.filed, i.bill.Request)
		if !in(i) {
			d.putAlone(i.bill, now, p)
		}
	}
	p.bills = nil
}

func (d *Desk) tickOwn(now clock.Time, p *batch) []Command {
	if p.closed == 0 && now.Sub(p.opened) >= d.Seal {
		d.close(now, p)
	}
	if p.made {
		if p.out > 0 {
			return nil
		}
		delete(d.batches, p.name)
		if p.holder.Name == "" {
			return nil
		}
		return []Command{SendSealed{To: p.holder.Name, Sealed: Sealed{Batch: p.name}}}
	}
	if p.closed != 0 && len(p.bills) == 0 {
		delete(d.batches, p.name) // every copy was refused, so that the holder has none
		return nil
	}
	out := d.recopy(now, p)
	waits := slices.ContainsFunc(p.bills, func(i *item) bool { return !i.held })
	if p.closed == 0 || waits && p.tried == 0 && now.Sub(p.closed) < grace {
		return out
	}
	if p.tried != 0 && now.Sub(p.tried) < retryEvery {
		return out
	}
	p.tried = now
	if p.read {
		return append(out, Read{Name: p.name})
	}
	var bills []work.Bill
	for _, i := range p.bills {
		if i.held {
			bills = append(bills, i.bill)
		}
	}
	return append(out, Create{Name: p.name, Bills: bills})
}

// recopy sends copies again whose acknowledgement is missing. When the holder is lost, another VM gets the
// bills that the lost holder had acknowledged.
func (d *Desk) recopy(now clock.Time, p *batch) []Command {
	lost := p.holder.Name == "" || d.Lost(p.holder.Name, p.holder.Inc)
	if lost {
		h := d.Pick()
		if h.Name == "" {
			return nil
		}
		p.holder = Holder{Name: h.Name, Inc: h.Inc}
		for _, i := range p.bills {
			i.copied, i.sent = false, 0
		}
		d.close(now, p) // a later request's token would name another holder
	}
	var out []Command
	for _, i := range p.bills {
		if i.copied || now.Sub(i.sent) < retryEvery {
			continue
		}
		c := Copy{Batch: p.name, Bill: i.bill}
		if !i.held {
			h, err := ParseHolder(i.token)
			if err != nil || h.Name != p.holder.Name || h.Inc != p.holder.Inc || p.tried != 0 {
				continue // only the request's own holder can vouch for it
			}
			c.Holder = i.token
		}
		i.sent = now
		out = append(out, SendCopy{To: p.holder.Name, Copy: c})
	}
	return out
}

// tickCopies watches a batch of another VM.
func (d *Desk) tickCopies(now clock.Time, p *batch) []Command {
	if d.Lost(p.owner.Name, p.owner.Inc) {
		p.owner, p.closed, p.tried = d.self(), now, 0
		return d.tickOwn(now, p)
	}
	if now.Sub(max(p.opened, p.tried)) >= recheck {
		p.tried = now // the owner's word may have been lost
		return []Command{Read{Name: p.name}}
	}
	return nil
}

// keeper returns h, or another VM in its place when it is lost.
func (d *Desk) keeper(h Holder) Holder {
	if h.Name == "" || d.Lost(h.Name, h.Inc) {
		return d.Pick()
	}
	return h
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

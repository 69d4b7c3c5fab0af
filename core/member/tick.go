package member

import "shallotrun/core/clock"

// tick sends the heartbeats that are due and chooses the connections anew where something changed.
func (f *Fleet) tick(now clock.Time) []Command {
	var out []Command
	if f.dirty || now.Sub(f.chosen) >= rechooseTime*f.Beat {
		f.dirty, f.chosen = false, now
		f.forget(now)
		out = f.choose(now)
		f.digest = f.sum(now)
	}
	for _, n := range f.domains[f.Self.Domain] {
		if v := f.vms[n]; v != nil && v.dialled != "" && now.Sub(v.sent) >= f.Beat {
			out = append(out, f.beat(now, v))
		}
	}
	for d, names := range f.domains {
		if d == f.Self.Domain {
			continue
		}
		for _, n := range names {
			if v := f.vms[n]; v.dialled != "" && now.Sub(v.sent) >= f.far() {
				out = append(out, f.beat(now, v))
			}
		}
	}
	return out
}

func (f *Fleet) beat(now clock.Time, v *vm) Command {
	v.sent = now
	b := Beat{State: f.Self.State, View: f.digest, Revision: f.Revision, Digest: f.Digest, Load: f.Load}
	if !v.told {
		b.Record = f.Self
		v.told = v.Heard != 0 // a VM that answers has read it
	}
	return SendBeat{To: v.Name, Beat: b}
}

// choose keeps connections to the own domain and to the contacts in each other one.
func (f *Fleet) choose(now clock.Time) []Command {
	var out []Command
	for d, names := range f.domains {
		want := names
		if d != f.Self.Domain {
			want = f.contacts(now, d)
		}
		keep := make(map[string]bool, len(want))
		for _, n := range want {
			keep[n] = true
		}
		for _, n := range names {
			if v := f.vms[n]; v != nil {
				out = append(out, f.link(now, v, keep[n])...)
			}
		}
	}
	return out
}

// link dials or hangs up. A VM that is silent at the address it declared is tried at the listed one.
func (f *Fleet) link(now clock.Time, v *vm, keep bool) []Command {
	state := f.state(now, v)
	if state == Gone && v.listed == "" && v.Domain == f.Self.Domain {
		keep = false
	}
	if !keep {
		if v.dialled == "" {
			return nil
		}
		v.dialled, v.told = "", false
		return []Command{Hang{Name: v.Name}}
	}
	addr := v.Peer
	if (state == Gone || v.Inc == 0) && v.listed != "" {
		addr = v.listed
	}
	if v.dialled == addr {
		return nil
	}
	v.dialled, v.since, v.told = addr, now, false
	return []Command{Dial{Name: v.Name, Addr: addr}}
}

// contacts chooses the VMs of another domain that this VM exchanges heartbeats with. Each VM has its own
// order, so that the load of a domain's contacts is even. A silent contact is avoided for a while.
func (f *Fleet) contacts(now clock.Time, domain string) []string {
	count := f.Contacts
	if count == 0 {
		count = 2
	}
	var good, all []string
	for _, n := range f.domains[domain] {
		v := f.vms[n]
		if v.dialled != "" && now.Sub(max(v.Heard, v.since)) > suspectAfter*f.far() {
			v.avoid = now.Add(avoidFor * f.Beat)
		}
		if v.Record.State == Gone {
			continue
		}
		all = append(all, n)
		if v.avoid <= now && f.state(now, v) != Gone {
			good = append(good, n)
		}
	}
	if len(good) == 0 {
		good = all // the domain is cut off: keep trying
	}
	return Rank(f.Self.Name, good, count)
}

// forget drops VMs that are gone and not listed.
func (f *Fleet) forget(now clock.Time) {
	for n, v := range f.vms {
		if v.listed == "" && v.dialled == "" && f.state(now, v) == Gone &&
			now.Sub(max(v.Heard, v.learned, v.reported)) > forgetAfter*f.Beat {
			f.remove(v.Domain, n)
			delete(f.vms, n)
		}
	}
}

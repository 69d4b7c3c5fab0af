package member

import "shallotrun/core/clock"

// tick returns the heartbeats that are due. If a view changed or rechooseEvery has passed, it also drops old records, chooses
// the connections again and updates the digest.
func (f *Fleet) tick(now clock.Time) []Command {
	var out []Command
	if f.dirty || now.Sub(f.lastChosen) >= rechooseEvery*f.Heartbeat {
		f.dirty, f.lastChosen = false, now
		f.forget(now)
		out = f.updateConnections(now)
		f.viewDigest = f.domainDigest(now)
	}
	for _, n := range f.domains[f.Self.Domain] {
		if v := f.vms[n]; v != nil && v.connAddr != "" && now.Sub(v.lastSent) >= f.Heartbeat {
			out = append(out, f.heartbeat(now, v))
		}
	}
	for d, names := range f.domains {
		if d == f.Self.Domain {
			continue
		}
		for _, n := range names {
			if v := f.vms[n]; v.connAddr != "" && now.Sub(v.lastSent) >= f.farInterval() {
				out = append(out, f.heartbeat(now, v))
			}
		}
	}
	return out
}

// heartbeat returns the command to send a heartbeat to v. It includes this VM's record until v has sent a heartbeat itself.
func (f *Fleet) heartbeat(now clock.Time, v *vm) Command {
	v.lastSent = now
	b := Heartbeat{State: f.Self.State, View: f.viewDigest, Revision: f.Revision, Digest: f.Digest, Load: f.Load}
	if !v.sentRecord {
		b.Record = f.Self
		v.sentRecord = v.HeartbeatReceived != 0 // v has sent a heartbeat, so messages pass between the two VMs
	}
	return SendHeartbeat{To: v.Name, Heartbeat: b}
}

// updateConnections returns the commands that keep connections to all VMs of this VM's domain and to the contacts in each other
// domain, and to no others.
func (f *Fleet) updateConnections(now clock.Time) []Command {
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
				out = append(out, f.updateConnection(now, v, keep[n])...)
			}
		}
	}
	return out
}

// updateConnection returns the command that opens or ends the connection to v, if one is necessary. A VM that is gone at the
// address that it declared is tried at the listed one.
func (f *Fleet) updateConnection(now clock.Time, v *vm, keep bool) []Command {
	state := f.state(now, v)
	if state == Gone && v.listedAddr == "" && v.Domain == f.Self.Domain {
		keep = false
	}
	if !keep {
		if v.connAddr == "" {
			return nil
		}
		v.connAddr, v.sentRecord = "", false
		return []Command{Disconnect{Name: v.Name}}
	}
	addr := v.Peer
	if (state == Gone || v.Inc == 0) && v.listedAddr != "" {
		addr = v.listedAddr
	}
	if v.connAddr == addr {
		return nil
	}
	v.connAddr, v.connRequestedAt, v.sentRecord = addr, now, false
	return []Command{Connect{Name: v.Name, Addr: addr}}
}

// contacts chooses the VMs of another domain with which this VM exchanges heartbeats. Each VM has its own rendezvous order, so
// that the load is even over the VMs of a domain. A silent contact is not chosen again for avoidFor.
func (f *Fleet) contacts(now clock.Time, domain string) []string {
	count := f.Contacts
	if count == 0 {
		count = 2
	}
	var good, all []string
	for _, n := range f.domains[domain] {
		v := f.vms[n]
		if v.connAddr != "" && now.Sub(max(v.HeartbeatReceived, v.connRequestedAt)) > suspectAfter*f.farInterval() {
			v.avoidUntil = now.Add(avoidFor * f.Heartbeat)
		}
		if v.Record.State == Gone {
			continue
		}
		all = append(all, n)
		if v.avoidUntil <= now && f.state(now, v) != Gone {
			good = append(good, n)
		}
	}
	if len(good) == 0 {
		good = all // the domain is partitioned from this one: keep trying
	}
	return Rank(f.Self.Name, good, count)
}

// forget drops the records of VMs that are gone, not listed and silent for forgetAfter.
func (f *Fleet) forget(now clock.Time) {
	for n, v := range f.vms {
		if v.listedAddr == "" && v.connAddr == "" && f.state(now, v) == Gone &&
			now.Sub(max(v.HeartbeatReceived, v.learnedAt, v.reportedAt)) > forgetAfter*f.Heartbeat {
			f.removeName(v.Domain, n)
			delete(f.vms, n)
		}
	}
}

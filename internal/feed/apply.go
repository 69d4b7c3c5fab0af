package feed

import (
	"shallotrun/core/backend"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// applyChanges applies changes that were read from the store or another VM. It ignores those of another era than the known objects,
// whose kind has to be listed first.
func (f *Feed) applyChanges(k Kind, b Batch) {
	f.applyBatch(k, b, func(known Position) bool { return b.Era == known.Era }, f.updateObjects, (*history).add)
}

// applyList replaces all objects of a kind by those that were read from the store or another VM.
func (f *Feed) applyList(k Kind, b Batch) {
	f.applyBatch(k, b, func(Position) bool { return true }, f.replaceObjects, (*history).replace)
}

// applyBatch applies a batch that fits the known position, and records it in the history for other VMs. It ignores a batch that is
// older: answers of the store and replies of another VM can arrive out of order.
func (f *Feed) applyBatch(k Kind, b Batch, fits func(known Position) bool, update func(Kind, Batch), record func(*history, Batch)) {
	f.applying[k].Lock()
	defer f.applying[k].Unlock()
	f.recordEra(k, b)
	known := f.positions()[k]
	if b.Era == 0 {
		b.Era = known.Era // of a store without eras, or a VM of an earlier build
	}
	if b.position().Before(known) || !fits(known) {
		f.logIgnored(k, b, known)
		return
	}
	update(k, b)
	if k == Servers {
		f.Limits.ServersChanged()
	}
	if k == Configs {
		b.Objects = nil // followers get the configuration in use, and nothing reads older ones, which may be large
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	record(&f.histories[k], b)
	f.ignoring[k] = false
}

// logIgnored logs that a batch is ignored because of its position: the first one in a row.
func (f *Feed) logIgnored(k Kind, b Batch, known Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ignoring[k] {
		return
	}
	f.ignoring[k] = true
	f.Log.Info().Stringer("kind", k).Uint64("revision", b.Rev).Uint64("era", b.Era).Uint64("known", known.Rev).Uint64("known_era", known.Era).
		Msg("feed: objects are ignored because they are older than the known ones, or changes of another era")
}

// replaceObjects replaces all objects of a kind.
func (f *Feed) replaceObjects(k Kind, b Batch) {
	now := f.Clock.Now()
	switch k {
	case Servers:
		f.replaceServers(now, b, f.inAnotherEra(k, b))
	case Configs:
		f.updateObjects(k, b)
	case Orders:
		if f.inAnotherEra(k, b) {
			f.Orders.restore(now, f.Clock.Wall(), b.Objects)
			break
		}
		f.Orders.retain(b.Objects)
		f.updateObjects(k, b)
	case Evacuations:
		f.Evacuated.replace(now, b, f.inAnotherEra(k, b))
	default:
		f.replaceMembers(now, f.inAnotherEra(k, b))
		f.updateObjects(k, b)
	}
	f.mu.Lock()
	f.listed[k] = true
	f.mu.Unlock()
	f.Log.Info().Stringer("kind", k).Int("objects", len(b.Objects)).Uint64("revision", b.Rev).Uint64("era", b.Era).Msg("feed: listed")
}

// inAnotherEra reports whether a list is the first one after the store came back from an older copy.
func (f *Feed) inAnotherEra(k Kind, b Batch) bool {
	known := f.positions()[k]
	return known.Era != 0 && b.Era != known.Era
}

// replaceServers replaces all backend servers. restored means that the store came back from an older copy.
func (f *Feed) replaceServers(now clock.Time, b Batch, restored bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if restored {
		f.servers.Restored(now)
	}
	var all []backend.Server
	for _, o := range b.Objects {
		if o.Server != nil {
			f.keepMade(o.Server)
			all = append(all, *o.Server)
		}
	}
	f.servers.Replace(now, all)
}

// replaceMembers removes the entries of all VMs, before those that are listed are added. If the store came back from an older copy,
// they stay for lostMemberSpan, in which they are written again.
func (f *Feed) replaceMembers(now clock.Time, restored bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !restored {
		f.members, f.lostMembers = make(map[string]Member), nil
		return
	}
	f.lostMembers = make(map[string]clock.Time)
	for name := range f.members {
		f.lostMembers[name] = now.Add(lostMemberSpan)
	}
}

// keepMade sets the revision at which a server registered to that of its first entry, also for the VMs that follow this one. f.mu is
// held.
func (f *Feed) keepMade(v *backend.Server) {
	if made := f.servers.Made(*v); made != v.Made {
		v.Made = made
	}
}

// updateObjects applies changed objects of a kind.
func (f *Feed) updateObjects(k Kind, b Batch) {
	now := f.Clock.Now()
	for _, o := range b.Objects {
		switch {
		case o.Config != nil && !o.Removed:
			f.updateConfig(o.Config, b.Rev)
		case k == Servers:
			f.updateServer(now, o, b.Rev)
		case k == Evacuations:
			f.Evacuated.update(now, o, b.Rev)
		case k == Members:
			f.updateMember(o)
		case k == Orders && o.Removed:
			f.Orders.remove(o.Name)
		case o.Order != nil:
			if f.Orders.put(now, f.Clock.Wall(), *o.Order) {
				f.Log.Info().Str("service", o.Order.Service).Str("version", o.Order.Target).Stringer("state", o.Order.State).
					Int64("ms", int64(o.Order.Duration)).Uint64("revision", b.Rev).Msg("feed: order changed")
			}
		}
	}
	if len(b.Objects) == 0 && k == Servers {
		f.mu.Lock()
		f.servers.StoreAnswered(now)
		f.mu.Unlock()
	}
}

// updateConfig uses a configuration if it is newer than the current one.
func (f *Feed) updateConfig(c *catalog.Config, rev uint64) {
	if f.Config.Update(*c) {
		f.Log.Info().Uint64("version", c.Version).Uint64("revision", rev).Int("routes", len(c.Routes)).
			Int("workspaces", len(c.Workspaces)).Msg("feed: configuration changed")
		if f.ConfigChanged != nil {
			f.ConfigChanged(c)
		}
	}
}

// updateServer adds, changes or removes a backend server. A server whose entry could not be decoded is removed.
func (f *Feed) updateServer(now clock.Time, o Object, rev uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Removed || o.Server == nil {
		f.servers.Remove(now, o.Name)
		f.Log.Info().Str("server", o.Name).Uint64("revision", rev).Bool("removed", o.Removed).Msg("feed: backend server removed")
		return
	}
	f.keepMade(o.Server)
	f.servers.Put(now, *o.Server)
	f.Log.Info().Str("server", o.Name).Str("addr", o.Server.Addr).Str("version", o.Server.Version).Uint64("revision", rev).
		Bool("leaving", o.Server.Leaving).Msg("feed: backend server changed")
}

// updateMember adds, changes or removes the entry of a VM.
func (f *Feed) updateMember(o Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil {
		f.members = make(map[string]Member)
	}
	delete(f.lostMembers, o.Name)
	if o.Removed || o.Member == nil {
		delete(f.members, o.Name)
		return
	}
	f.members[o.Name] = *o.Member
}

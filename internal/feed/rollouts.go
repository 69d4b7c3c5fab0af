package feed

import (
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/clock"
)

// Rollouts holds the rollout of each service whose version an order changes, and the results that other VMs report for them.
// The zero value holds none. All methods are safe for concurrent use.
type Rollouts struct {
	// Share is the fraction of a service's requests that a bad version may get; 0 means 0.15. It is set before the feed runs.
	Share float64
	// Usable returns those of some servers whose failure domain is not evacuated; nil means all. It is set before the feed runs.
	Usable func(all []backend.Server) []backend.Server

	mu       sync.Mutex
	rollouts map[string]*heldOrder  // by object name
	past     map[string]pastOrders  // by service
	peers    map[string]peerReports // by name of a VM that follows this one, and upstream
}

// heldOrder is an order in force with its rollout. The store may have lost the order, or a later state of it.
type heldOrder struct {
	*canary.Rollout
	stored    canary.State  // state in the store
	keepUntil clock.Time    // until when an order that the store lost stays in force, 0 for one that the store has
	next      *canary.Order // what the store has in place of an order that it lost, nil for nothing
}

// Choose returns those of a service's servers that may get the next request. The session may be "".
func (b *Rollouts) Choose(now clock.Time, service, session string, all []backend.Server) []backend.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropLost(now)
	r := b.find(service)
	if r == nil {
		if used := b.withoutWithdrawn(service, all); len(used) > 0 {
			all = used
		}
		return oldestVersion(all)
	}
	target := filterVersion(all, r.Order.Target, true)
	old := b.oldServers(service, filterVersion(all, r.Order.Target, false))
	switch {
	case r.Order.State == canary.Done:
		return target
	case r.Order.State == canary.RolledBack || len(target) == 0:
		return old
	case session == "" && b.Usable != nil && len(b.Usable(target)) == 0:
		return old // a session stays with the version that it may already have
	case r.Admit(now, position(session, r.Order.Target), session != ""):
		return target
	}
	return old
}

// Record adds the result of a request to the rollout of its service, if there is one.
func (b *Rollouts) Record(now clock.Time, service string, v canary.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.find(service); r != nil {
		r.Report(now, v)
	}
}

// Overdue adds a request that still waits for its first answer to the rollout of its service, with the time that it has
// waited so far. It reports whether the rollout recorded it as a result.
func (b *Rollouts) Overdue(now clock.Time, service string, v canary.Result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service)
	return r != nil && r.Overdue(now, v)
}

func (b *Rollouts) find(service string) *canary.Rollout {
	for _, r := range b.rollouts {
		if r.Order.Service == service {
			return r.Rollout
		}
	}
	return nil
}

// put stores an order as read from the store, and reports whether it is new or its state changed.
func (b *Rollouts) put(now, wall clock.Time, o canary.Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.putOrder(now, wall, o)
}

// putOrder is put with b.mu held. The rollout of a new order that another VM started begins at that start. An order that the store
// lost and has again keeps its rollout and its state: the results of the new version still count, and a bad one stays rolled back.
func (b *Rollouts) putOrder(now, wall clock.Time, o canary.Order) bool {
	if b.rollouts == nil {
		b.rollouts = make(map[string]*heldOrder)
	}
	r := b.rollouts[o.Service]
	if r == nil || !continues(r.Order, o) {
		if r != nil {
			b.recordEnd(r)
		}
		b.recordOrder(o)
		seen := now
		if age := wall.Sub(o.Started); o.Started != 0 && age > 0 && age < o.Duration {
			seen = now.Add(-age)
		}
		b.rollouts[o.Service] = &heldOrder{Rollout: &canary.Rollout{Order: o, FirstSeen: seen, Share: b.Share}, stored: o.State}
		return true
	}
	before := r.Order.State
	r.stored, r.keepUntil, r.next = o.State, 0, nil
	o.State = laterState(before, o.State)
	if o.Started == 0 {
		o.Started = r.Order.Started
	}
	r.Order = o
	return before != o.State
}

// continues reports whether o is the order that is known: the same object, or the first one with its target in a later era.
func continues(known, o canary.Order) bool {
	if known.Target != o.Target {
		return false
	}
	if known.Era == o.Era || known.Era == 0 || o.Era == 0 {
		return known.CreateRevision == o.CreateRevision
	}
	return known.Era < o.Era
}

// laterState returns the later state of an order: that in the store if it is final, else the one that is known.
func laterState(known, stored canary.State) canary.State {
	if stored == canary.Done || stored == canary.RolledBack {
		return stored
	}
	return max(known, stored)
}

func (b *Rollouts) remove(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(name)
}

// drop removes an order, if there is one.
func (b *Rollouts) drop(name string) {
	if r := b.rollouts[name]; r != nil {
		b.recordEnd(r)
	}
	delete(b.rollouts, name)
}

// retain removes the orders that are not among the objects.
func (b *Rollouts) retain(objects []Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool)
	for _, o := range objects {
		listed[o.Name] = true
	}
	for name := range b.rollouts {
		if !listed[name] {
			b.drop(name)
		}
	}
}

// restore applies the list of a store that came back from an older copy. An order that it lost, or in place of which it has an earlier
// one, stays in force for rewriteSpan: until then it is written again.
func (b *Rollouts) restore(now, wall clock.Time, objects []Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]*canary.Order)
	for _, o := range objects {
		if o.Order != nil {
			listed[o.Order.Service] = o.Order
		}
	}
	for name, r := range b.rollouts {
		if o := listed[name]; o == nil || !continues(r.Order, *o) {
			r.keepUntil, r.next = now.Add(rewriteSpan), o
			delete(listed, name)
		}
	}
	for _, o := range listed {
		b.putOrder(now, wall, *o)
	}
}

// dropLost ends the orders that the store lost and nobody has written again.
func (b *Rollouts) dropLost(now clock.Time) {
	for name, r := range b.rollouts {
		if r.keepUntil == 0 || now < r.keepUntil {
			continue
		}
		b.drop(name)
		if r.next != nil {
			b.putOrder(now, 0, *r.next)
		}
	}
}

// due returns the orders whose state in the store has to change, with their new states, and the reason for each.
func (b *Rollouts) due(now, wall clock.Time) (out []canary.Order, reasons []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropLost(now)
	for _, r := range b.rollouts {
		state, reason := r.Decide(now)
		if state == r.stored || r.keepUntil != 0 {
			continue
		}
		o := r.Order
		o.State = state
		if o.Started == 0 {
			o.Started = wall
		}
		if state == r.Order.State {
			reason = "the store lost this state"
		}
		out, reasons = append(out, o), append(reasons, reason)
	}
	return out, reasons
}

// unfinished returns the orders whose time has come to be finished and that are not, and the reason for each.
func (b *Rollouts) unfinished(now clock.Time) (out []canary.Order, reasons []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.rollouts {
		if reason := r.Unfinished(now); reason != "" {
			out, reasons = append(out, r.Order), append(reasons, reason)
		}
	}
	return out, reasons
}

// position returns the place, from 0 to 1, of a session in the order in which sessions move to a version. It is random for
// requests without a session.
func position(session, version string) float64 {
	if session == "" {
		return rand.Float64()
	}
	return float64(xxhash.Sum64String(session+" "+version)>>11) / (1 << 53)
}

// filterVersion returns the servers that run a version, or if same is false those that run any other.
func filterVersion(all []backend.Server, version string, same bool) (out []backend.Server) {
	for _, v := range all {
		if (v.Version == version) == same {
			out = append(out, v)
		}
	}
	return out
}

// oldestVersion returns the servers of the version that registered first. Servers of a newer version may register before
// this VM has read the order by which they may get requests.
func oldestVersion(all []backend.Server) []backend.Server {
	if len(all) == 0 {
		return nil
	}
	first := all[0]
	for _, v := range all {
		if v.Made < first.Made {
			first = v
		}
	}
	return filterVersion(all, first.Version, true)
}

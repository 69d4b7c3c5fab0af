package feed

import (
	"slices"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
)

// pastOrders is what a VM knows of the earlier orders of a service.
type pastOrders struct {
	withdrawn []string // versions whose orders were rolled back, the last maxWithdrawn
	complete  bool     // the VM knows how the last one ended
}

// maxWithdrawn is the number of versions of a service that are known as rolled back. Their servers leave some seconds after that.
const maxWithdrawn = 8

// oldServers returns those of the servers that run another version than an order's target which may get requests: none of a version that
// was rolled back, whose servers are there until they have left. A VM that does not know how the order before ended goes by the version
// that registered first, since one that was rolled back came later.
func (b *Rollouts) oldServers(service string, others []backend.Server) []backend.Server {
	others = b.withoutWithdrawn(service, others)
	if !b.past[service].complete {
		return oldestVersion(others)
	}
	return others
}

// withoutWithdrawn returns the servers whose version was not rolled back.
func (b *Rollouts) withoutWithdrawn(service string, all []backend.Server) []backend.Server {
	for _, version := range b.past[service].withdrawn {
		all = filterVersion(all, version, false)
	}
	return all
}

// recordEnd adds an order that another one replaces, or that is removed, to the past ones of its service.
func (b *Rollouts) recordEnd(r *heldOrder) {
	if b.past == nil {
		b.past = make(map[string]pastOrders)
	}
	o := r.Order
	p := b.past[o.Service]
	rolledBack := o.State == canary.RolledBack || r.Verdict() != ""
	p.complete = rolledBack || o.State == canary.Done
	if rolledBack {
		p.withdrawn = append(without(p.withdrawn, o.Target), o.Target)
		p.withdrawn = p.withdrawn[max(len(p.withdrawn)-maxWithdrawn, 0):]
	}
	b.past[o.Service] = p
}

// recordOrder notes that the target of a new order may get requests again, if it was rolled back before.
func (b *Rollouts) recordOrder(o canary.Order) {
	if p, ok := b.past[o.Service]; ok {
		p.withdrawn = without(p.withdrawn, o.Target)
		b.past[o.Service] = p
	}
}

// without returns the versions other than one.
func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}

// Package follow lets most VMs read the platform's store through another VM, their upstream, because every call to the store is
// paid for and the store's rate limits grow more slowly than the fleet.
//
// A few VMs of each failure domain, the candidates, have an entry in the store by which others find them. Candidates of a
// domain are ordered by processor time and then by a hash of their names, and the domains by a hash of theirs. A VM follows the
// first candidate of its domain that answers; the first one of a domain follows that of an earlier domain, and the first of all
// reads the store. A VM follows only VMs that are ordered before it, so there are no cycles. The order decides nothing else:
// if two VMs both read the store, that costs calls and does no other harm.
//
// A VM polls its upstream a few times a second for the changes since the revisions that it has. The answer holds the changes
// and the age of the upstream's last proof that its configuration is the newest one. The polling VM counts that age from the
// moment at which it sent the poll, so ages add up and are never understated, however long the answer takes.
//
// A VM that starts reads a list of the candidates, which may be stale, and gets everything else from one of them. If none
// answers, it tries the others and then reads the store. A candidate whose upstream gets no answer from the store also calls
// the store; other VMs leave that to the candidates. The VM that leads a domain chooses candidates among its followers, and
// removes the entries of those that are gone. Connections are authenticated with a secret that the first VM puts into the
// store.
package follow

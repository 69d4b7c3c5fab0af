// Package follow lets most VMs learn from another VM what the platform's store says, because every call to the store is
// paid for and its rates grow more slowly than the fleet.
//
// The VMs of a failure domain order themselves by a hash of their names. The first one that answers asks the store; the
// others ask that VM a few times a second for what has changed since the revisions that they know. It answers with the
// changes and with the age of its proof that the configuration is the newest one. The asking VM counts that age from the
// moment at which it asked, so ages add up and are never too young, however long the answer was on its way.
//
// A VM that gets no answer in time, or that follows a VM to which the store is silent, asks the store itself and goes on looking for a VM that
// answers. Nothing is decided by this order: two VMs that both ask the store cost calls and break nothing. Connections
// are authenticated with a secret that the first VM puts into the store.
package follow

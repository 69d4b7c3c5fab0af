// Package share divides the slots of the backend servers of one pool among the entry VMs of a failure domain.
//
// The pool's [Owner] grants slots to the entry VMs by their demand. A [Holder] on each entry VM limits how many requests may
// run at each server. A grant is a lease and expires. Without an owner a holder falls back to an equal part of the slots, so
// that the loss of an owner costs balance but no service.
//
// While the owner has reports of all holders, the valid grants never exceed a server's slots: a slot that is taken back is
// treated as granted until its holder has confirmed the change or its grant has expired. A new owner grants no more than the
// holders report that they have, until all of them have reported or every grant of an earlier owner has expired.
//
// A limit on the rate of requests is divided in the same way: [RateSlots] makes it slots that a request takes for a fixed time. A
// [Branch] at each VM of a tree gets its part from the VM that it follows and divides it among its own followers, and [Ownership]
// decides which VM at the top of a tree divides the limits of a failure domain's servers. There is no fallback: without a part a VM
// sends nothing.
//
// The baselines are fixed equal parts and the power of two choices on stale load; neither needs code here.
package share

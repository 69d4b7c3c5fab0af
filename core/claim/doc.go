// Package claim decides which entry VM may run a call with an idempotency key, so that the call runs at most once within
// the key's window.
//
// Each key belongs to one failure domain. Three VMs of that domain are the key's replicas, chosen by rendezvous hash over
// the domain's [Roster]. Each replica keeps a write-once register for the key. A call may run only if a quorum, two of the
// three replicas, recorded its token. The roster is an object of the platform's store with an epoch: views of the
// membership differ between VMs, and two different sets of replicas could both give two votes.
//
// Why at most one token per key is permitted:
//
//   - Within an epoch any two pairs of the key's replicas share a replica, and its register is never overwritten.
//   - A replica votes in an epoch only after it has copied, for every roster since its last one, the tables of enough
//     members that each pair of that roster's replicas includes one of them, and these members have left the older
//     epochs. What it could not copy is recorded as a [Gap]: it does not vote for the keys concerned until the window
//     has passed.
//   - A replica that restarted has lost its registers. Its own table is treated as not copied until it has copied the
//     tables of both others. These then report the new incarnation with their votes, and a vote of an earlier
//     incarnation is not counted together with theirs.
//
// A replica's clock may stand still while its VM is suspended. Registers and gaps then last longer, which is safe. The
// window rule assumes that no pair of replicas is cut off from the rest of its own domain for a whole window while the
// platform's store accepts a new roster that displaces them.
package claim

// Package claim decides which entry VM may run a call with a key, at most once within the key's window.
//
// Each key has a home failure domain, and there a trio of holders, chosen by rendezvous hash over the
// domain's [Roster]. Each holder keeps a write-once register per key. A call may run only if two of the
// three recorded its token. The roster is an object of the platform with an epoch: membership views differ
// between VMs, and two different trios could both give two votes.
//
// Why at most one token per key is permitted:
//
//   - Within an epoch two pairs of the same trio share a holder, and its register is never overwritten.
//   - A holder votes in an epoch only after it has copied, for every roster since its last one, the tables of
//     enough members that each pair of that roster's trio includes one of them, and these members have left
//     the older epochs. What it could not copy is a [Doubt]: it does not vote for the keys concerned until
//     the window has passed.
//   - A restarted holder has lost its registers. It counts as not copied until it has copied the tables of
//     both others, and those tell their later callers which incarnations they know: a vote of an earlier
//     incarnation is then not counted together with theirs.
//
// A holder's clock may stand still while its VM is suspended; registers and doubts then last longer, which
// is safe. The window rule assumes that no pair of holders is cut off from the rest of its own domain for a
// whole window while the platform accepts a new roster that displaces them.
package claim

// Package bill brings each bill into exactly one object of the platform.
//
// A [Desk] is one VM's part in it, in three roles. As the owner it puts the bill of a request that ends here
// into an open batch and sends a copy to the batch's copy holder. As a holder it keeps copies, and creates
// the batch when the owner is lost. As a taker it bills a request that started on another VM.
//
// Three rules keep a request out of a second object, however messages and answers are lost and whoever
// pauses:
//
//   - A bill goes into the batch named in its copy, or alone into the object that is named after its
//     request. Objects are created only if absent.
//   - The owner puts a bill into its batch only after the holder has acknowledged the copy. A holder that
//     has a copy lets no other VM take the request; a holder that let it be taken accepts no copy.
//   - A bill goes into the object of its request only when its batch exists without it, or when it was
//     certainly in no batch: the request was taken, or no copy of it was ever sent.
//
// The state is in memory only. A bill is lost if all the VMs that have it are lost before the platform has
// it. Times are wall clock, because a monotonic clock may stand still while a VM is suspended.
package bill

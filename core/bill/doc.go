// Package bill writes the bill of each request into exactly one object of the platform's store.
//
// A [Recorder] does one VM's share of this, in three roles. As the owner it puts the bill of a request that ends on
// this VM into an open batch and sends a copy to the batch's copy holder, another VM. As a copy holder it keeps
// copies, and creates the batch's object itself when the owner is lost. As a taker it bills a request that
// started on another VM and was continued here.
//
// Three rules keep a request from being billed in two objects, however messages and answers are lost and
// whichever VMs pause or restart:
//
//   - A bill goes into the batch that its copy names, or alone into the object that is named after its request.
//     Objects are created only if they do not exist.
//   - The owner puts a bill into its batch only after the copy holder has acknowledged the copy. A copy holder
//     that has a copy lets no other VM take the request over, and one that let the request be taken over accepts
//     no copy of it.
//   - A bill goes into the object of its request only if its batch exists without the bill, or if the bill was
//     certainly in no batch: the request was taken over, or no copy for a batch was ever sent.
//
// All state is in memory. A bill is lost if every VM that has it is lost before the store has it. Times are wall
// clock, because a monotonic clock may stand still while a VM is suspended.
package bill

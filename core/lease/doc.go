// Package lease decides whether one VM holds the lease of its failure domain.
//
// A [Machine] is a state machine: it takes events with the time and returns commands for the object lease/DOMAIN in the
// platform's store. A holder's lease runs from the moment at which it sent a write that the store confirmed. Every other VM
// measures from the moment at which it read the object, so that it waits at least as long as the holder may act, and no
// clocks of different VMs are compared. The holder stops a safety margin before the end, by whichever of the monotonic and
// the wall clock reaches it first: a monotonic clock may stand still while the VM is suspended.
//
// Each holder has a higher fencing token than every holder before it. Call [Machine.FencingToken] directly before each order.
package lease

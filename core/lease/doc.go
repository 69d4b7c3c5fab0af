// Package lease decides whether one VM holds the lease of its failure domain.
//
// A [Machine] takes events with the time and returns commands for the platform's object lease/DOMAIN. It
// holds the lease from the moment that it sent a write which the platform confirmed; every other VM counts
// from the moment that it read the object. So the others wait at least as long as the holder may act, and
// no clocks are compared between VMs. The holder stops a margin before the end, by the more cautious of the
// monotonic and the wall clock: a monotonic clock may stand still while the VM is suspended.
//
// Each holder has a higher fencing number than every holder before it. [Machine.Acting] is asked directly
// before each order.
package lease

// Package capacity estimates how many requests at once each backend server takes well, from the time that its answers take.
//
// A [Learner] compares each answer with the usual time of its class and size and keeps small sums for each server, in [Buckets]
// parts of its load, that decay within seconds. The sums of all VMs are added ([Evidence]), since one VM sends a server too few
// requests for an estimate of its own. [Estimates] compares each server with the others at the same load: its speed, and the part
// of its slots beyond which its answers get slower than those of the others do.
//
// Evidence belongs to one incarnation of a server and is forgotten with it. Estimates are bounded, and without enough evidence a
// server counts as usual. The package has no clock, lock, network or goroutine; its types are not safe for concurrent use.
package capacity

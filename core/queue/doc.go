// Package queue orders the requests that wait on one entry VM for a slot of a backend server.
//
// The order is a [Policy]: [FIFO] and [Strict] are the baselines, [Fair] is what the daemon uses. Fair gives
// strict priority to the more urgent rank, a minimum share of service to the lower ranks while more urgent
// work waits, and weighted fair queuing by tokens among the tenants of a rank.
//
// Every item that Push accepts leaves exactly once, by Pop, Expire or Remove. Pop never returns an item whose
// deadline has passed. A Queue is not safe for concurrent use.
package queue

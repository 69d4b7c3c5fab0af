// Package queue orders the requests that wait on one entry VM for a slot of a backend server, so that during overload urgent
// requests start first, lower ranks are not starved, and a tenant with many requests does not delay the others.
//
// The order is set by a [Policy]: [FIFO] and [Strict] are the baselines, and the daemon uses [Fair]. Fair gives strict priority
// to the more urgent rank, a minimum share of service to the lower ranks while more urgent work waits, and weighted fair
// queueing by tokens among the tenants of a rank.
//
// Every item that Push accepts leaves the queue exactly once, by Pop, Expire or Remove. Pop never returns an item whose deadline
// has passed. A Queue is not safe for concurrent use.
package queue

// Package front is the gateway daemon: it wires the feed of the platform's store, the request path and the ports for callers,
// the balancer and metrics into one process, and stops them in order.
package front

// Package front is the gateway daemon: it runs the feed of the platform's store, the request path and the ports for callers,
// the balancer, metrics and other VMs in one process. When the process has to stop, the readiness probe fails first, then open
// requests get the rest of the grace, and the parts that they need stop last.
package front

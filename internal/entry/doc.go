// Package entry is the request path of the entry daemon. It accepts requests of callers for models, cascades and plain
// services, queues them, places them on backend servers and passes the answers on. The decisions are those of core; this
// package connects them with the protocol packages of io.
//
// Failed attempts are resumed or retried within a retry budget, streams can be resumed through another entry VM, slow
// idempotent calls to services are hedged, and an answer ends only after its bill is saved.
//
// The interfaces in ports.go are what the request path needs from the rest of the daemon.
package entry

// Package backend keeps the set of backend servers that may get requests, as the platform's store lists them.
//
// A server that is leaving gets no new requests. A server that is no longer listed is removed. The exception is an outage of
// the store, during which servers cannot renew their entries: an entry that is missing when the store answers again is kept
// for recoveryGrace, so that the server has time to register again and one outage of the store does not remove every server.
// The types of this package are not safe for concurrent use.
package backend

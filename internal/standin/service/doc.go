// Package service is a stand-in for a plain HTTP service such as the tag service or the order service.
//
//	POST /tags              issues a new tag number on every call: not idempotent
//	GET  /tags/N            looks a tag up
//	POST /dispatch          executes a dispatch instruction: not idempotent
//	PUT  /tags/N/state      sets the state of a tag: may be repeated
//
// A JSON body may contain {"item": ID}, which identifies the operation that the caller intends. Two runs with the same item mean
// that a call ran twice.
//
// Ledger entries: tag, lookup, dispatch, state; each with the item as name, the Idempotency-Key as key, Shallot-Request as
// request, the tag number and the outcome (ran, refused).
//
// Faults: close (closes the connection after running the call), drop (closes after reading the request without running it), delay
// (milliseconds), refuse (HTTP 503 with "ran": false), silent (nothing more arrives on open connections), leaving (refuses with
// code leaving).
package service

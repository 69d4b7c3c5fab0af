// Package service is a stand-in for a plain HTTP service such as the tag desk or the order desk.
//
//	POST /tags              issues a new tag number on every call: not idempotent
//	GET  /tags/N            looks a tag up
//	POST /dispatch          carries a dispatch instruction out: not idempotent
//	PUT  /tags/N/state      sets the state of a tag: may be repeated
//
// A JSON body may carry {"item": ID}, which names the caller's intent. Two runs with the same item show a
// call that ran twice.
//
// Ledger entries: tag, lookup, dispatch, state; each with the item as name, the Idempotency-Key as key,
// Shallot-Request as request, the tag number and the outcome (ran, refused).
//
// Faults: close (closes the connection after running the call), drop (closes after reading the request
// without running it), delay (milliseconds), refuse (HTTP 503 with "ran": false), silent (open connections
// fall silent), leaving (refuses with code leaving).
package service

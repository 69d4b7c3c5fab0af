// Package weights is a stand-in for the weight store, from which engines fetch a model version before they can serve it.
// GET /weights/MODEL@VERSION takes a configured time and is answered with HTTP 429 above the rate limit.
//
// Ledger entries: fetch, with the name and the outcome (done, limited, down).
//
// Faults: delay (milliseconds), down (HTTP 503), silent (nothing more arrives on open connections).
package weights

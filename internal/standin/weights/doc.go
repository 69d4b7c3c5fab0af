// Package weights is a stand-in for the weight store, from which engines fetch a model version before they
// can serve it. GET /weights/MODEL@VERSION takes a while and is answered with HTTP 429 above the rate
// limit.
//
// Ledger entries: fetch, with the name and the outcome (done, limited, down).
//
// Faults: delay (milliseconds), down (HTTP 503), silent (open connections fall silent).
package weights

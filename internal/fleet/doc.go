// Package fleet implements the coordination between the entry VMs: membership, distribution of documents and halts,
// replicated bills, votes on idempotency keys, and pooled results of versions. It connects the state machines of
// core/member, core/relay, core/bill and core/claim to the connections of io/peer and to the platform's store, and gives
// the request path its bills, claims and evidence. All of it continues among the VMs while the platform's store is unavailable.
//
// Each state machine has a lock of its own. A message handler never waits for another VM.
package fleet

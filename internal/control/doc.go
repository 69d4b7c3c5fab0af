// Package control makes the model engines of one failure domain match the document: the VM that holds the lease of the domain
// orders engines to load and unload versions and to take roles. It also writes the progress and the halts of rollouts into the
// document.
//
// The lease is checked directly before each order, so that a holder which was paused past the end of its lease sends none. An
// order keeps its id until its outcome is known, so that an order that is repeated after a lost response is executed once. What
// took effect is read from the engine's load report. A new holder starts from the document and the reports and needs no state of
// the previous holder.
package control

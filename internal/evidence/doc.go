// Package evidence pools the results of all entry VMs about the versions and halts a version whose results are bad.
//
// The [Judge] implements the Evidence port of internal/entry. It feeds core/rollout, writes halts into the
// configuration store, from where they spread to the other VMs, and gives and takes counts for the peers.
package evidence

// Package evidence pools the results of all entry VMs about the versions and halts a version whose results are bad.
//
// The [Judge] feeds the pooled counts to core/rollout, halts bad versions, and says which canaries may advance.
package evidence

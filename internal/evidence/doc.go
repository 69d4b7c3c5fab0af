// Package evidence evaluates the results of model versions, pooled over all entry VMs, so that a bad version is halted although
// each VM alone sees too few of its requests.
//
// The [Evaluator] feeds the pooled counters to core/rollout, halts bad versions, and reports which canaries may advance.
package evidence

// Package rollout decides from the results of requests whether a canary version is advanced, kept as it is or halted.
//
// Each entry VM counts the results that it saw and sends its counts ([Tally]) to its peers. Counts only grow and are merged
// by maximum, so that repeated, reordered and lost messages do no harm. [Evidence] passes the increments to a [Policy]:
// [Never] and [Threshold] are baselines for comparison, [Sequential] is what the daemon uses. Its error bounds hold however
// often it is evaluated, so a decision can be taken after every message.
//
// [Halts] is the set of halted versions. A halt stays until a later document takes the version out of service. The types of this
// package are not safe for concurrent use.
package rollout

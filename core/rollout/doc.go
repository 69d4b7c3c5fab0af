// Package rollout decides from the results of requests whether a version is advanced, kept or halted.
//
// Each entry VM counts the results that it saw and sends its counts ([Tally]) to its peers. Counts only grow and are
// merged by maximum, so that repeated, reordered and lost messages do no harm. [Evidence] feeds the increments to a
// [Policy]: [Never] and [Threshold] are the baselines, [Sequential] is what the daemon uses. Its error bounds hold
// at every look, so a decision may be taken after every message.
//
// [Halts] is the set of halted versions. It only grows until the document itself takes the version out of service.
// Nothing here is safe for concurrent use.
package rollout

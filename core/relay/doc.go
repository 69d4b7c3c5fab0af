// Package relay decides how the configuration document, halts and evidence spread among entry VMs.
//
// Two VMs of each failure domain watch the platform. A VM that puts a new revision in force passes it to
// its children in a tree over the domain's VMs, whose order changes with each revision, so that every VM
// sends about as much as it receives. What a lost message or a dead parent leaves out is repaired by the
// heartbeats, which carry revision and digest: a VM that hears of a higher revision asks for it. No VM ever
// takes a lower one.
//
// Evidence is counted per VM incarnation. Counters only grow and are merged by maximum, so that repeated,
// reordered and lost messages do no harm. Within a domain the watchers collect the counters of each VM;
// between domains they exchange the domain's sums.
package relay

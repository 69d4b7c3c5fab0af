// Package relay distributes the configuration document, halts and canary evidence among entry VMs.
//
// Two VMs of each failure domain watch the platform. A VM that puts a new revision in force sends it to its children in a
// tree over the domain's VMs. The order of the tree changes with each revision, so that over time every VM sends about as much
// as it receives. Heartbeats carry revision and digest and repair what a lost message or a failed parent leaves out: a VM that
// receives a higher revision number in a heartbeat requests that document. No VM ever puts a lower revision in force.
//
// Evidence is counted per VM incarnation. Counters only grow and are merged by maximum, so that repeated, reordered and lost
// messages are harmless. Within a domain the watchers collect the counters of each VM; between domains they exchange the
// domain's sums.
package relay

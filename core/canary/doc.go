// Package canary carries out an operator's order to move a service's requests to replicas of another version of its
// software: how large a part of the requests the new version gets at each moment, when the order is finished, and when the
// new version is withdrawn because its answers are worse than those of the old one.
//
// Each VM decides from its own results and from the sums of those that other VMs told it. The verdict is written to the platform's store with a conditional write, where
// every VM sees it, so that no VM has to lead: any VM that reaches a verdict may write it. The new version gets a small part
// of the requests until half of the time is over, then more, and all of them early enough that the old replicas have
// ended their streams before the order is finished, because they are stopped then without a drain.
//
// Nothing here is safe for concurrent use.
package canary

// Package canary carries out an operator's order to move a service's requests to replicas of another version of its
// software: how large a part of the requests the new version gets at each moment, when the order is finished, and when the
// new version is withdrawn because its answers are worse than those of the old one.
//
// Each VM decides from its own results and from the sums of those that other VMs told it. The verdict is written to the
// platform's store with a conditional write, where every VM sees it, so that no VM has to lead: any VM that reaches a verdict
// may write it. The new version gets nothing until half of the time is over, then a small part of the requests, and all of
// them near the end. The stages keep what it gets in all below a bound, also if no result shows that it is bad. The old
// replicas are stopped without a drain when the order is finished; streams that still run there have to go on elsewhere.
//
// Three kinds of results are counted apart, each for both versions: failed and very slow answers, late first answers, and
// streams that are slower than most. The new version is withdrawn if any of them is far more frequent than with the old one.
//
// Nothing here is safe for concurrent use.
package canary

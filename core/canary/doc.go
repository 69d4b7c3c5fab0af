// Package canary carries out an operator's order to move a service's requests to replicas that run another version of its
// software. It decides which fraction of the requests the new version gets at each moment, when the order is finished, and
// when it is rolled back because the new version's answers are worse than those of the old one.
//
// Each VM decides from its own results and from the sums of the results that other VMs sent to it. Any VM that reaches a
// verdict writes it to the platform's store with a conditional update, where every VM reads it, so no leader is needed. The
// new version gets no requests in the first half of the order's duration, then a small fraction, and all of them near the
// end. These stages bound the total that a bad version gets, even if no result shows that it is bad. The old replicas are
// stopped without a drain when the order is finished; streams that still run on them have to be resumed elsewhere.
//
// Series of results are compared between the versions in the same time: failed answers, failed or very slow ones, late first answers,
// and streams that are slower than usual. The order is rolled back if any of them shows that the new version is worse, and finished
// once they show that it is not. An old version that fails often is no measure: its failures excuse only a few of the new version, so
// the order waits for better evidence, and is rolled back if the new version fails often meanwhile.
//
// The types of this package are not safe for concurrent use.
package canary

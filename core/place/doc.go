// Package place selects the backend server for a request.
//
// The selection is a [Policy]: [Random], [RoundRobin], [LeastConnections] and [TwoChoices] are baselines, [CacheAffinity] is the
// policy that the daemon uses, and [LearnedCapacity] the same with the capacity that was learned of each server. Each entry VM
// decides by itself, from load reports that lag, from its own requests in flight and from the results of its own requests. No
// state is shared between entry VMs: servers that probably hold a session's prefix in their prefix cache are found by rendezvous
// hashing, which gives the same order on every VM.
//
// Servers that fail repeatedly are ejected for a while (outlier ejection), never more than half of the candidates. The state
// of a server that is no longer reported is dropped. A Placer is not safe for concurrent use.
package place

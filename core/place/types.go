package place

import (
	"shallotrun/core/capacity"
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Candidate is a backend server that may run the request.
type Candidate struct {
	Name        string
	Domain      string // failure domain
	Slots       int    // most requests that this VM may have in flight at the server, 0 for no limit
	OwnInFlight int    // requests that this VM has in flight there
	// AwaitingFirstToken is the number of requests in OwnInFlight without a first token yet. They delay the first token of the
	// next request most.
	AwaitingFirstToken int
	// OthersInFlight is the number of requests that other VMs have in flight there, from reports that lag.
	OthersInFlight int
	// PendingTokens is the number of prompt tokens that the server has still to prefill, for this VM and the others.
	PendingTokens int
	// TokensHeld is the number of tokens that requests in flight hold in the server's memory or will hold before they end, for this VM and
	// the others.
	TokensHeld int
	Memory     int // tokens that the server's memory can hold, 0 if that is not known
	// Slowdown is the factor by which the server generates more slowly than the others, 0 to take it from this VM's own results.
	Slowdown float64
	// Learned is what was learned about the server, for LearnedCapacity.
	Learned capacity.Estimate
	Load    work.Load // latest load report of the server
	HasLoad bool      // whether there is such a report
}

// Request is the request to place.
type Request struct {
	Model   string
	Version string
	Session string   // session identifier, "" for none
	Prefix  uint64   // hash of the first part of the prompt, 0 for none
	Tokens  int      // prompt tokens whose prefill a cached session or prefix saves
	Memory  int      // tokens that the request will hold in a server's memory, 0 if that is not known
	Exclude []string // servers that must not be selected, usually those already tried
}

// Policy is the rule by which a Placer selects a server.
type Policy interface{ policy() }

// Random selects a server at random. It is a baseline for comparison.
type Random struct{}

// RoundRobin selects the servers in turn. It is a baseline for comparison.
type RoundRobin struct{}

// LeastConnections selects the server with the fewest requests of this VM in flight. The placement goal is measured against it.
type LeastConnections struct{}

// TwoChoices draws two servers at random and selects the one with the lower estimated load (power of two choices). It is a
// baseline for comparison.
type TwoChoices struct{}

// CacheAffinity selects the server with the least expected time to the first token: the wait for a slot, from the estimated
// load, and the prefill of the prompt tokens that are probably not in the server's prefix cache.
type CacheAffinity struct {
	PrefillTime      float64    // prefill time of a prompt token in milliseconds, 0 means 0.25
	ServiceTime      clock.Span // assumed time of a request before the first result, 0 means 3 s
	CrossDomainDelay clock.Span // delay added for a server in another failure domain, 0 means 3 ms
	// HotGap is the mean gap between this VM's uses of a prefix below which every server is assumed to have the prefix cached,
	// 0 means 20 s. With a cache that keeps a prefix for T, E entry VMs and N servers, it is about T*E/N.
	HotGap clock.Span
}

// LearnedCapacity is CacheAffinity with servers drawn in proportion to what they were learned to take, and with the slots up to
// which their answers take no longer than they should.
type LearnedCapacity struct{ CacheAffinity CacheAffinity }

func (Random) policy()           {}
func (RoundRobin) policy()       {}
func (LeastConnections) policy() {}
func (TwoChoices) policy()       {}
func (CacheAffinity) policy()    {}
func (LearnedCapacity) policy()  {}

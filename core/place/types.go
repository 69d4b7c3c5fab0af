package place

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Candidate is a backend server that may run the request.
type Candidate struct {
	Name   string
	Domain string
	Slots  int // requests that this VM may have in flight there, 0 for no limit
	Own    int // requests that it has in flight there
	// Starting is how many of Own have no first token yet. They delay the first token of the next one most.
	Starting int
	// Others is how many requests other VMs have in flight there, by reports that lag.
	Others int
	// Unread is the number of prompt tokens that the server has yet to read, of this VM and of others.
	Unread int
	// Slow is how many times slower than the others the server generates, 0 if that is left to this VM's own results.
	Slow  float64
	Load  work.Load // latest report
	Known bool      // whether there is a report
}

// Ask is the request to place.
type Ask struct {
	Model   string
	Version string
	Session string   // session identifier, "" for none
	Prefix  uint64   // hash of the first part of the prompt, 0 for none
	Tokens  int      // prompt tokens that a cached session or prefix would save
	Exclude []string // servers that were tried already
}

// Policy is the rule of selection.
type Policy interface{ policy() }

// Random selects any server. It is a baseline.
type Random struct{}

// Rotate selects the servers in turn. It is a baseline.
type Rotate struct{}

// Least selects the server with the fewest requests of this VM in flight (least connections). It is the
// baseline of the placement goal.
type Least struct{}

// Choices draws two servers and selects the one with the lower estimated load. It is a baseline.
type Choices struct{}

// Affine selects the server with the least expected time to the first token: the wait for a slot by the
// estimated load, and the prefill of those prompt tokens that are probably not in the server's prefix cache.
type Affine struct {
	Prefill float64    // milliseconds for each prompt token, 0 means 0.25
	Service clock.Span // usual time of a request before any was seen, 0 means 3 s
	Far     clock.Span // added for a server in another failure domain, 0 means 3 ms
	// Hot is the mean gap between this VM's uses of a prefix below which every server is taken to have it cached,
	// 0 means 20 s. With a cache that keeps a prefix for T, E entry VMs and N servers it is about T*E/N.
	Hot clock.Span
}

func (Random) policy()  {}
func (Rotate) policy()  {}
func (Least) policy()   {}
func (Choices) policy() {}
func (Affine) policy()  {}

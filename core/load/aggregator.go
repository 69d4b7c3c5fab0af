package load

import (
	"shallotrun/core/capacity"
	"shallotrun/core/clock"
)

// Usage is the load that one VM, or several together, put on a backend server. It is encoded by position.
type Usage struct {
	_             struct{} `cbor:",toarray"`
	Server        string
	InFlight      int        // requests in flight
	PendingTokens int        // prompt tokens still to prefill, of requests without a first byte, weighted as if for the largest model
	SinceLastByte clock.Span // time since the last byte that any of them received from the server
	LogSlowdown   int        // sum over streams of the natural logarithm of the slowdown, in hundredths
	Streams       int        // number of streams in that sum, decayed
	TokensHeld    int        `cbor:"-"` // tokens of memory that the requests in flight hold there or will; see HeldTokens
	// Evidence is what the answers show about the server's capacity. It is no part of the encoding, since a VM of an earlier build
	// reads nothing but exactly the fields above: [Learned] carries it.
	Evidence capacity.Evidence `cbor:"-"`
}

// Learned is the evidence of a Usage in a message. It is encoded by position.
type Learned struct {
	_        struct{} `cbor:",toarray"`
	Server   string
	Evidence capacity.Evidence
}

// Split returns the evidence in uses, nil if there is none.
func Split(uses []Usage) (out []Learned) {
	for _, u := range uses {
		if !u.Evidence.Empty() {
			out = append(out, Learned{Server: u.Server, Evidence: u.Evidence})
		}
	}
	return out
}

// Join adds the valid evidence of a message to its uses.
func Join(uses []Usage, learned []Learned) []Usage {
	if len(learned) == 0 {
		return uses
	}
	by := make(map[string]capacity.Evidence, len(learned))
	for _, v := range learned {
		if v.Evidence.Valid() {
			by[v.Server] = v.Evidence
		}
	}
	for i := range uses {
		uses[i].Evidence = by[uses[i].Server]
	}
	return uses
}

// Aggregator holds the latest report of each VM and the sums over them. The sums are updated with each report rather than
// computed on request, because many VMs request them. ReportTTL is set before the first call.
type Aggregator struct {
	ReportTTL clock.Span // age after which a report is dropped

	reports map[string]report // by VM
	totals  map[string]total  // by server
}

type report struct {
	receivedAt clock.Time
	usage      []Usage
}

// total is the sum over all current reports for a server.
type total struct {
	vms, inFlight, pendingTokens, logSlowdown, streams, tokensHeld int
	lastByte                                                       clock.Time // latest time at which any VM received a byte from the server
	evidence                                                       capacity.Evidence
}

// Put replaces the report of a VM. The caller must not change uses afterwards.
func (a *Aggregator) Put(now clock.Time, from string, uses []Usage) {
	if a.reports == nil {
		a.reports, a.totals = make(map[string]report), make(map[string]total)
	}
	a.remove(from)
	a.reports[from] = report{now, uses}
	for _, u := range uses {
		s := a.totals[u.Server]
		lastByte := now.Add(-u.SinceLastByte)
		if s.vms > 0 {
			lastByte = max(lastByte, s.lastByte)
		}
		a.totals[u.Server] = total{s.vms + 1, s.inFlight + u.InFlight, s.pendingTokens + u.PendingTokens,
			s.logSlowdown + u.LogSlowdown, s.streams + u.Streams, s.tokensHeld + u.TokensHeld, lastByte, s.evidence.Plus(u.Evidence)}
	}
}

// remove deletes the report of a VM and subtracts it from the sums.
func (a *Aggregator) remove(from string) {
	for _, u := range a.reports[from].usage {
		s := a.totals[u.Server]
		if s.vms--; s.vms == 0 {
			delete(a.totals, u.Server)
			continue
		}
		s.inFlight, s.pendingTokens, s.logSlowdown, s.streams = s.inFlight-u.InFlight, s.pendingTokens-u.PendingTokens,
			s.logSlowdown-u.LogSlowdown, s.streams-u.Streams
		s.tokensHeld -= u.TokensHeld
		s.evidence = s.evidence.Minus(u.Evidence)
		a.totals[u.Server] = s
	}
	delete(a.reports, from)
}

// Servers returns the number of servers in the reports.
func (a *Aggregator) Servers() int { return len(a.totals) }

// Sum drops the reports older than ReportTTL and returns the sums over the others, except that of the VM exclude. The time since
// the last byte of a server is over all VMs, exclude included.
func (a *Aggregator) Sum(now clock.Time, exclude string) Totals {
	for name, r := range a.reports {
		if now.Sub(r.receivedAt) > a.ReportTTL {
			a.remove(name)
		}
	}
	v := Totals{At: now, Uses: make(map[string]Usage, len(a.totals))}
	for server, s := range a.totals {
		v.Uses[server] = Usage{Server: server, InFlight: s.inFlight, PendingTokens: s.pendingTokens,
			SinceLastByte: now.Sub(s.lastByte), LogSlowdown: s.logSlowdown, Streams: s.streams, TokensHeld: s.tokensHeld, Evidence: s.evidence}
	}
	for _, u := range a.reports[exclude].usage {
		if a.totals[u.Server].vms == 1 {
			delete(v.Uses, u.Server)
			continue
		}
		s := v.Uses[u.Server]
		s.InFlight, s.PendingTokens, s.LogSlowdown, s.Streams = s.InFlight-u.InFlight, s.PendingTokens-u.PendingTokens,
			s.LogSlowdown-u.LogSlowdown, s.Streams-u.Streams
		s.TokensHeld -= u.TokensHeld
		s.Evidence = s.Evidence.Minus(u.Evidence)
		v.Uses[u.Server] = s
	}
	return v
}

// Totals is the sum of some reports at one time.
type Totals struct {
	At   clock.Time       // time of the sums
	Uses map[string]Usage // by server
}

// Add adds uses that were counted age before the time of the totals.
func (v *Totals) Add(uses []Usage, age clock.Span) {
	for _, u := range uses {
		u.SinceLastByte += age
		if sum, ok := v.Uses[u.Server]; ok {
			u.InFlight += sum.InFlight
			u.PendingTokens += sum.PendingTokens
			u.LogSlowdown += sum.LogSlowdown
			u.Streams += sum.Streams
			u.TokensHeld += sum.TokensHeld
			u.Evidence = u.Evidence.Plus(sum.Evidence)
			u.SinceLastByte = min(u.SinceLastByte, sum.SinceLastByte)
		}
		v.Uses[u.Server] = u
	}
}

// List returns the sums by server, in no particular order.
func (v *Totals) List() []Usage {
	out := make([]Usage, 0, len(v.Uses))
	for _, u := range v.Uses {
		out = append(out, u)
	}
	return out
}

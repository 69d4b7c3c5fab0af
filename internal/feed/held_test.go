package feed

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/io/peer"
)

// unheldUsage, unheldQuery and unheldDelta are parts of the messages of builds that know no tokens held.
type unheldUsage struct {
	_             struct{} `cbor:",toarray"`
	Server        string
	InFlight      int
	PendingTokens int
	SinceLastByte clock.Span
	LogSlowdown   int
	Streams       int
}
type unheldQuery struct{ Loads []unheldUsage }
type unheldDelta struct {
	Loads    []unheldUsage
	HasLoads bool `cbor:"Counted"`
}

// Guards against VMs of an earlier and of this build that cannot decode each other's loads while the fleet is brought to this build.
func TestHeldTokensAndEarlierBuilds(t *testing.T) {
	uses := []load.Usage{{Server: "x", InFlight: 1}, {Server: "y", InFlight: 2, TokensHeld: 700}}
	held := load.HeldTokens(uses)
	for _, m := range []any{Query{Loads: uses, TokensHeld: held}, Delta{Loads: uses, TokensHeld: held, HasLoads: true}} {
		raw, err := peer.Marshal(m)
		assert.NilError(t, err)
		var d unheldDelta
		assert.NilError(t, peer.Unmarshal(raw, &d))
		assert.Check(t, len(d.Loads) == 2 && d.Loads[1].InFlight == 2, "%+v", d)
	}
	raw, err := peer.Marshal(unheldQuery{[]unheldUsage{{Server: "x", InFlight: 3}}})
	assert.NilError(t, err)
	var q Query
	assert.NilError(t, peer.Unmarshal(raw, &q))
	load.SetHeldTokens(q.Loads, q.TokensHeld)
	assert.Equal(t, q.Loads[0], load.Usage{Server: "x", InFlight: 3})
}

// Guards against tokens that are lost on the way between VMs, or counted twice.
func TestHeldTokensArePooled(t *testing.T) {
	now := clock.Time(1000)
	own := func(n int) func() []load.Usage {
		return func() []load.Usage { return []load.Usage{{Server: "x", InFlight: 1, TokensHeld: n}} }
	}
	top, left, right := &Loads{Usage: own(1)}, &Loads{Usage: own(10)}, &Loads{Usage: own(100)}
	for range 2 { // the second query brings what the other VM has reported
		for i, l := range []*Loads{left, right} {
			all, ok := top.Exchange(now, []string{"left", "right"}[i], l.Report(now))
			assert.Check(t, ok)
			l.SetUpstream(now, all)
		}
		top.Refresh(now)
	}
	assert.Equal(t, top.Others(now).Uses["x"].TokensHeld, 110)
	assert.Equal(t, left.Others(now).Uses["x"].TokensHeld, 101)
	assert.Equal(t, right.Others(now).Uses["x"].TokensHeld, 11)
}

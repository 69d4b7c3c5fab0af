package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// takeoverSpan is longer than a VM waits before it divides limits.
const takeoverSpan = 5 * clock.Second

// startLimitedGateway starts a gateway with one server that named a limit, of which it may use its part.
func startLimitedGateway(t *testing.T, b *fakeBackend) (*Gateway, *fakeState, clock.Clock) {
	now := clock.NewManual(1000)
	g, s := startGatewayAt(t, b, now)
	s.servers = s.servers[:1]
	_, ok := g.Serve(newRequest("/safe/1")).(Buffered)
	assert.Assert(t, ok)
	pass(s, now)
	return g, s, now
}

// pass lets takeoverSpan pass. The VM is not suspended meanwhile.
func pass(s *fakeState, now clock.Clock) {
	for range takeoverSpan / clock.Second {
		now.Advance(clock.Second)
		s.limits.Refresh(now.Boot())
	}
}

// Guards against attempts that do not count against the limit of their server: first ones, retries, those whose answer is
// dropped, and requests for load reports; and against refusals that come late or do not say when to return.
func TestEveryRequestCountsAgainstTheLimit(t *testing.T) {
	tests := []struct {
		name string
		step step
		path string
	}{
		{"first attempts", step{limit: 1}, "/safe/1"},
		{"rejections", step{limit: 1, fail: true, kind: RefusedByServer}, "/safe/1"},
		{"error answers that are tried again", step{limit: 1, status: 500}, "/safe/1"},
		{"broken streams that are resumed", step{limit: 1, broken: true}, "/resumable/1"},
		{"answers of low confidence", step{limit: 1, events: 3, confidence: 1}, "/sized/1"},
	}
	for _, tt := range tests {
		b := &fakeBackend{script: []step{{limit: 1}, tt.step}}
		g, s, _ := startLimitedGateway(t, b)
		before, refused := b.sent(), 0
		for range 40 {
			switch a := g.Serve(newRequest(tt.path)).(type) {
			case Refused:
				if a.Code == work.CodeLimited {
					refused++
				}
				assert.Check(t, a.Ran != work.NotRun || a.Retry > 0, "%s: %+v", tt.name, a)
			case *Stream:
				assert.NilError(t, a.Close())
			}
		}
		assert.Check(t, refused > 0, tt.name)
		assert.Check(t, b.sent()-before <= 4, "%s: %d attempts at a limit of 1 a second", tt.name, b.sent()-before)
		b.mu.Lock()
		reports := b.reports
		b.mu.Unlock()
		g.pool("s").mu.Lock()
		g.pool("s").servers["s0"] = &serverState{inFlight: 1}
		g.pool("s").mu.Unlock()
		g.pool("s").checkServer(s.servers[0], g.Clock.Now(), clock.Minute, clock.Second)
		b.mu.Lock()
		assert.Equal(t, b.reports, reports, "%s: a load report is requested beyond the limit", tt.name)
		b.mu.Unlock()
	}
}

// Guards against requests that are refused although a server without a limit is left, or all but one are beyond their limits.
func TestOtherServersTakeWhatLimitsLeave(t *testing.T) {
	b := &fakeBackend{script: []step{{limit: 1}, {}}}
	g, s := startGatewayAt(t, b, clock.NewManual(1000))
	for range 30 {
		_, ok := g.Serve(newRequest("/safe/1")).(Buffered)
		assert.Check(t, ok)
	}
	assert.Equal(t, len(s.limits.Limited(1000)), 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	limited, sent := b.attempts[0].Server.ID, 0
	for i := range b.attempts {
		if b.attempts[i].Server.ID == limited {
			sent++
		}
	}
	assert.Equal(t, sent, 1, "a VM that has no part of the limit yet sends requests")
}

// Guards against a caller that gets an error in place of an answer: the answer was dropped for a better one, or given up as late, and
// the limits left no server for the next attempt.
func TestAnswerIsKeptIfLimitsLeaveNoServer(t *testing.T) {
	b := &fakeBackend{script: []step{{limit: 1}, {limit: 1, events: 3, confidence: 1}}}
	g, s, now := startLimitedGateway(t, b)
	for s.limits.FreeSlots(now.Boot(), "s")["s0"] {
		assert.Assert(t, s.limits.TakeSlot(now.Boot(), s.servers[0], ""))
	}
	x := &exchange{g: g, request: newRequest("/safe/1"), service: "s", deadline: now.Now().Add(clock.Minute)}
	w := waitState{canRetry: true, pool: g.pool("s")}
	x.abortForRetry(now.Now(), w, causeSlow)
	assert.Check(t, !x.retryTaken, "an attempt is given up although no other can be made")

	pass(s, now)
	x.abortForRetry(now.Now(), w, causeSlow)
	assert.Check(t, x.retryTaken)

	left := 0
	for s.limits.FreeSlots(now.Boot(), "s")["s0"] {
		assert.Assert(t, s.limits.TakeSlot(now.Boot(), s.servers[0], ""))
		left++
	}
	pass(s, now)
	for range left - 1 {
		assert.Assert(t, s.limits.TakeSlot(now.Boot(), s.servers[0], ""))
	}
	got, err := readStream(t, g.Serve(newRequest("/sized/1")))
	assert.NilError(t, err)
	assert.Equal(t, got, events(0, 3))
}

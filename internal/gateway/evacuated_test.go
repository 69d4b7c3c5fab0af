package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// evacuate puts the servers into domains a and b by turns and evacuates domains.
func evacuate(s *fakeState, domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.servers {
		s.servers[i].Domain = string("ab"[i%2])
	}
	s.away.Store(&domain)
}

// Guards against first attempts, retries, resumed streams and repeated answers that reach a server in an evacuated domain.
func TestNoAttemptInEvacuatedDomain(t *testing.T) {
	for _, tt := range []struct {
		path string
		step step
	}{
		{"/safe/1", step{}}, {"/safe/1", step{status: 500}}, {"/unsafe/1", step{fail: true, kind: RefusedByServer}},
		{"/unsafe/1", step{fail: true, kind: NotSent}}, {"/resumable/1", step{events: 2, broken: true}}, {"/sized/1", step{events: 3, confidence: 1}},
	} {
		b := &fakeBackend{script: []step{tt.step}}
		g, s := startGateway(t, b)
		evacuate(s, "a")
		for range 20 {
			if a, ok := g.Serve(newRequest(tt.path)).(*Stream); ok {
				_, _ = readStream(t, a)
			}
		}
		assert.Check(t, b.sent() >= 20, "%s: %d", tt.path, b.sent())
		assert.Check(t, !slices.ContainsFunc(b.attempts, func(a Attempt) bool { return a.Server.Domain == "a" }), "%s %+v", tt.path, tt.step) //nolint:govet // a copy
	}
}

// Guards against requests that wait, are refused late or are told nothing if all servers of their service are in evacuated domains, and
// against requests that stay away after the end.
func TestAllDomainsEvacuated(t *testing.T) {
	now := clock.NewManual(8000)
	b := &fakeBackend{script: []step{{}}}
	g, s := startGatewayAt(t, b, now)
	for i := range s.servers {
		s.servers[i].Domain = "a"
	}
	domain := "a"
	s.away.Store(&domain)
	r, ok := g.Serve(newRequest("/safe/1")).(Refused)
	assert.Assert(t, ok)
	assert.Check(t, r.Code == work.CodeNoServer && r.Ran == work.NotRun && r.Status == 503 && r.Retry >= 8000, "%+v", r)
	assert.Equal(t, b.sent(), 0)
	s.away.Store(nil)
	_, ok = g.Serve(newRequest("/safe/1")).(Buffered)
	assert.Check(t, ok, "refused although the evacuation is over")
}

// Guards against a stream that is broken off in an evacuated domain, or whose server is asked for a load report, when no other server
// could go on with it.
func TestStreamGoesOnInEvacuatedDomain(t *testing.T) {
	b := &fakeBackend{script: []step{{events: 2, stall: true}}, unreachable: true}
	now := clock.NewManual(8000)
	g, s := startGatewayAt(t, b, now)
	for i := range s.servers {
		s.servers[i].Domain = "a"
	}
	a, ok := g.Serve(newRequest("/resumable/1")).(*Stream)
	assert.Assert(t, ok)
	domain := "a"
	s.away.Store(&domain)
	x := openExchange(g)
	done := make(chan struct{})
	go func() { _, _ = readStream(t, a); close(done) }()
	waiting := func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.wait.active && x.wait.hasEvents
	}
	for !waiting() {
		time.Sleep(time.Millisecond)
	}
	now.Advance(4000) // the pause is longer than any after which a stream is resumed
	x.check(now.Now(), false)
	time.Sleep(50 * time.Millisecond) // for a load report
	b.mu.Lock()
	assert.Equal(t, fmt.Sprint(len(b.attempts), b.reports), "1 0")
	b.mu.Unlock()
	assert.Check(t, waiting(), "the stream was broken off")
	now.Advance(4000) // beyond its deadline
	<-done
}

// openExchange returns the only open request.
func openExchange(g *Gateway) *exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	for x := range g.open {
		return x
	}
	return nil
}

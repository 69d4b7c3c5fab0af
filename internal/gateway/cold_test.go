package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// startColdGateway starts a gateway at which servers become cold before anything divides their limits, which allow 1 request a second.
func startColdGateway(t *testing.T, b *fakeBackend, cold int, left clock.Span) (*Gateway, *fakeState) {
	now := clock.NewManual(1000)
	g, s := startGatewayAt(t, b, now)
	s.limits.ColdRates = func() map[string]float64 { return map[string]float64{"s": 1} }
	pass(s, now)
	all := append([]backend.Server(nil), s.servers...)
	for i := range cold {
		all[i].Cold, all[i].ColdRev = left, 7
	}
	s.setServers(all)
	return g, s
}

// Guards against requests for servers that have just become cold, before the limits were divided anew, and against requests that are
// refused although warm servers are left.
func TestWarmServersTakeWhatColdOnesDoNot(t *testing.T) {
	b := &fakeBackend{script: []step{{}}}
	g, s := startColdGateway(t, b, 3, 3*clock.Second)
	s.limits.ServersChanged()
	for range 30 {
		_, ok := g.Serve(newRequest("/safe/1")).(Buffered)
		assert.Check(t, ok)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.attempts {
		assert.Check(t, b.attempts[i].Server.Cold == 0, "%s is cold", b.attempts[i].Server.ID)
	}
	r := prometheus.NewRegistry()
	assert.NilError(t, r.Register(&limitCollector{g}))
	got, err := r.Gather()
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].GetName(), "shallot_gateway_cold_servers")
	assert.Equal(t, got[0].GetMetric()[0].GetGauge().GetValue(), 3.0)
}

// Guards against requests and requests for load reports that go to cold servers because all are cold, and against refusals that say
// that servers named a limit, or to return long after the servers are warm.
func TestRequestsAreRefusedAtOnceIfAllServersAreCold(t *testing.T) {
	b := &fakeBackend{script: []step{{}}}
	const left = 1500 * clock.Millisecond
	g, s := startColdGateway(t, b, 4, left)
	for range 200 {
		a, ok := g.Serve(newRequest("/safe/1")).(Refused)
		assert.Assert(t, ok && a.Code == work.CodeLimited && a.Ran == work.NotRun, "%+v", a)
		assert.Check(t, a.Retry > 0 && a.Retry <= left+2*retryAfter, "told to return after %d ms", a.Retry)
		assert.Equal(t, a.Detail, "the limits on requests to the backend servers are used up")
	}
	g.pool("s").servers["s0"] = &serverState{inFlight: 1}
	g.pool("s").checkServer(s.Servers(0, "s")[0], g.Clock.Now(), clock.Minute, clock.Second)
	assert.Equal(t, b.sent(), 0)
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, b.reports, 0)
}

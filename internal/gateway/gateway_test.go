package gateway

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/core/work"
)

// Guards against a request that runs twice although that is not allowed, a refusal that states falsely that nothing ran, and an
// error answer that is sent to the caller although another server could have answered.
func TestFaults(t *testing.T) {
	failWith := func(h FaultKind) step { return step{fail: true, kind: h} }
	for _, c := range []struct {
		name, path string
		script     []step
		status     int
		ran        work.Ran // "" for an answer of a server
		attempts   int
	}{
		{"answer", "/safe/1", []step{{}}, 200, "", 1},
		{"safe, unknown once", "/safe/1", []step{failWith(OutcomeUnknown), {}}, 200, "", 2},
		{"safe, unknown up to the limit", "/safe/1", []step{failWith(OutcomeUnknown)}, 502, work.RunUnknown, 2},
		{"safe, server fails once", "/safe/1", []step{{status: 500}, {}}, 200, "", 2},
		{"safe, servers fail", "/safe/1", []step{{status: 500}}, 500, "", 2},
		{"safe, server fails, then refuses", "/safe/1", []step{{status: 500}, failWith(RefusedByServer)}, 500, "", 2},
		{"unsafe, unknown", "/unsafe/1", []step{failWith(OutcomeUnknown), {}}, 502, work.RunUnknown, 1},
		{"unsafe, server fails", "/unsafe/1", []step{{status: 500}, {}}, 500, "", 1},
		{"unsafe, refused once", "/unsafe/1", []step{failWith(RefusedByServer), {}}, 200, "", 2},
		{"unsafe, not sent, then sent", "/unsafe/1", []step{failWith(NotSent), {}}, 200, "", 2},
		{"unsafe, moved, then sent", "/unsafe/1", []step{failWith(Moved), {}}, 200, "", 2},
		{"unsafe, refused, then unknown", "/unsafe/1", []step{failWith(RefusedByServer), failWith(OutcomeUnknown), {}}, 502, work.RunUnknown, 2},
		{"unsafe, always refused", "/unsafe/1", []step{failWith(RefusedByServer)}, 503, work.NotRun, 3},
		{"unsafe, never sent to any of four servers", "/unsafe/1", []step{failWith(NotSent)}, 503, work.NotRun, 4},
		{"stream that may not be repeated, unknown", "/stream/1", []step{failWith(OutcomeUnknown), {events: 3}}, 502, work.RunUnknown, 1},
		{"no route", "/none/1", []step{{}}, 404, work.NotRun, 0},
	} {
		b := &fakeBackend{script: c.script}
		g, _ := startGateway(t, b)
		switch a := g.Serve(newRequest(c.path)).(type) {
		case Refused:
			assert.Equal(t, a.Status, c.status, c.name)
			assert.Equal(t, a.Ran, c.ran, c.name)
			assert.Check(t, a.Ran != work.NotRun || a.Status == 404 || a.Retry > 0, "%s: no time to retry", c.name)
		case Buffered:
			assert.Equal(t, a.Status, c.status, c.name)
			assert.Equal(t, c.ran, work.Ran(""), c.name)
		default:
			t.Errorf("%s: %+v", c.name, a)
		}
		assert.Equal(t, b.sent(), c.attempts, c.name)
		assert.Equal(t, g.Open(), 0, c.name)
	}
}

// Guards against events that are lost or duplicated when a stream is resumed at another server, and against a broken stream that
// looks complete.
func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name, path string
		script     []step
		last       int64
		broken     bool
		attempts   int
	}{
		{"whole", "/resumable/1", []step{{events: 5}}, 5, false, 1},
		{"broken once", "/resumable/1", []step{{events: 3, broken: true}, {events: 5}}, 5, false, 2},
		{"broken before the first event", "/resumable/1", []step{{broken: true, events: -1}, {events: 5}}, 5, false, 2},
		{"broken twice", "/resumable/1", []step{{events: 1, broken: true}, {events: 3, broken: true}, {events: 5}}, 5, false, 3},
		{"broken up to the limit", "/resumable/1", []step{{events: 1, broken: true}, {events: 2, broken: true}, {events: 3, broken: true}}, 3, true, 3},
		{"resume answered with an error", "/resumable/1", []step{{events: 2, broken: true}, {status: 500}, {events: 5}}, 5, false, 3},
		{"broken, not resumable", "/stream/1", []step{{events: 2, broken: true}, {events: 5}}, 2, true, 1},
		{"broken before the first event, not resumable", "/stream/1", []step{{events: -1, broken: true}, {events: 5}}, NoEvent, true, 1},
	} {
		b := &fakeBackend{script: c.script}
		g, _ := startGateway(t, b)
		a := g.Serve(newRequest(c.path))
		if c.last == NoEvent {
			_, ok := a.(Refused)
			assert.Check(t, ok, c.name)
		} else {
			got, err := readStream(t, a)
			assert.Equal(t, got, events(0, c.last), c.name)
			assert.Equal(t, err != nil, c.broken, "%s: %v", c.name, err)
		}
		assert.Equal(t, b.sent(), c.attempts, c.name)
		assert.Equal(t, g.Open(), 0, c.name)
	}
}

// Guards against a stream that waits until the caller gives up for a server that went silent in the middle of it, and against a
// stream that is resumed elsewhere although its server is alive and has requests in its queue.
func TestSilentServer(t *testing.T) {
	b := &fakeBackend{unreachable: true, script: []step{{events: 2, stall: true}, {events: 5}}}
	g, _ := startGateway(t, b)
	got, err := readStream(t, g.Serve(newRequest("/resumable/1")))
	assert.NilError(t, err)
	assert.Equal(t, got, events(0, 5))
	assert.Equal(t, b.sent(), 2)

	b = &fakeBackend{script: []step{{events: 2, stall: true}, {events: 5}}}
	g, s := startGateway(t, b)
	s.table.Load().Config.Routes[3].Timeout = 1200
	got, err = readStream(t, g.Serve(newRequest("/resumable/1")))
	assert.Check(t, err != nil, "the route's timeout has passed")
	assert.Equal(t, got, events(0, 2))
	assert.Equal(t, b.sent(), 1)
}

// Guards against a load report that could not be fetched and is taken for an empty queue: the server answers other VMs, so the request
// waits in its queue, and would lose its place.
func TestFailedReportIsNoEmptyQueue(t *testing.T) {
	b := &fakeBackend{unreachable: true, script: []step{{events: -1, stall: true}, {events: 5}}}
	g, s := startGateway(t, b)
	s.table.Load().Config.Routes[3].Timeout = 3000
	heard := &load.Totals{At: g.Clock.Now().Add(clock.Minute), Uses: make(map[string]load.Usage)}
	for _, v := range s.Servers(0, "s") {
		heard.Uses[v.ID] = load.Usage{Server: v.ID, InFlight: 1}
	}
	s.others.Store(heard)
	refused, ok := g.Serve(newRequest("/resumable/1")).(Refused)
	assert.Check(t, ok && refused.Code == work.CodeDeadline, "the request ended before the route's timeout")
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Check(t, b.reports > 0)
	assert.Equal(t, len(b.attempts), 1)
}

// Guards against a stream that is aborted to be resumed when no further attempt is allowed. A late answer is better than half of
// one.
func TestNoBreakWithoutAnotherAttempt(t *testing.T) {
	b := &fakeBackend{unreachable: true, script: []step{{events: 2, stall: true}, {events: 5}}}
	g, s := startGateway(t, b)
	s.table.Load().Config.Routes[3].Timeout = 1500
	p := g.pool("s")
	for p.takeRetry(g.Clock.Now()) {
		// Uses up the retry budget.
	}
	p.budget.Ratio = 1e-9
	begun := g.Clock.Now()
	got, err := readStream(t, g.Serve(newRequest("/resumable/1")))
	assert.Check(t, err != nil)
	assert.Equal(t, got, events(0, 2))
	assert.Equal(t, b.sent(), 1)
	assert.Check(t, g.Clock.Now().Sub(begun) >= 1400, "the stream was aborted before the route's timeout")
}

// Guards against a stream that is aborted to be resumed after its key was revoked, or while the key cannot be proved to be valid.
// The current attempt may continue then, but no other one may start.
func TestNoBreakWithoutAKey(t *testing.T) {
	for _, c := range []struct {
		name string
		deny func(s *fakeState) // makes another attempt impossible
	}{
		{"key revoked", func(s *fakeState) { s.table.Store(testTable(8, "other")) }},
		{"no proof", func(s *fakeState) { s.stale.Store(true) }},
	} {
		b := &fakeBackend{unreachable: true, script: []step{{events: 2, stall: true}, {events: 5}}}
		g, s := startGateway(t, b)
		s.table.Load().Config.Routes[3].Timeout = 2500
		a := g.Serve(newRequest("/resumable/1"))
		c.deny(s)
		begun := g.Clock.Now()
		got, err := readStream(t, a)
		assert.Check(t, err != nil)
		assert.Equal(t, got, events(0, 2))
		assert.Check(t, g.Clock.Now().Sub(begun) >= 2000, "%s: the stream was aborted before the route's timeout", c.name)
	}
}

// Guards against requests that continue after their caller closed its connection, before and after the first event.
func TestCallerGone(t *testing.T) {
	for _, path := range []string{"/resumable/1", "/stream/1"} {
		for _, n := range []int64{-1, 2} {
			b := &fakeBackend{script: []step{{events: n, stall: true}}}
			g, _ := startGateway(t, b)
			var gone atomic.Bool
			r := newRequest(path)
			r.CallerGone = gone.Load
			time.AfterFunc(50*time.Millisecond, func() { gone.Store(true) })
			begun := g.Clock.Now()
			a := g.Serve(r)
			if n >= 0 {
				_, err := readStream(t, a)
				assert.Check(t, err != nil)
			}
			assert.Check(t, g.Clock.Now().Sub(begun) < 3*clock.Second)
			assert.Equal(t, b.sent(), 1)
		}
	}
}

// Guards against requests that run with a key that was revoked or cannot be proved to be valid, and against final refusals from a
// configuration that may be out of date.
func TestKeys(t *testing.T) {
	for _, c := range []struct {
		name, key, path string
		stale           bool
		status          int
	}{
		{"known", "k", "/safe/1", false, 200},
		{"unknown", "x", "/safe/1", false, 401},
		{"none", "", "/safe/1", false, 401},
		{"known, stale", "k", "/safe/1", true, 503},
		{"unknown, stale", "x", "/safe/1", true, 503},
		{"no route, stale", "k", "/none/1", true, 503},
	} {
		b := &fakeBackend{script: []step{{}}}
		g, s := startGateway(t, b)
		s.stale.Store(c.stale)
		r := newRequest(c.path)
		r.Key = c.key
		status := 0
		switch a := g.Serve(r).(type) {
		case Refused:
			status = a.Status
			assert.Equal(t, a.Ran, work.NotRun, c.name)
		case Buffered:
			status = a.Status
		}
		assert.Equal(t, status, c.status, c.name)
		assert.Equal(t, b.sent(), map[bool]int{true: 1}[c.status == 200], c.name)
	}
}

// Guards against another attempt after the key was revoked during the first one.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	b := &fakeBackend{script: []step{{events: 1, broken: true}, {events: 5}}}
	g, s := startGateway(t, b)
	a := g.Serve(newRequest("/resumable/1"))
	s.table.Store(testTable(8, "other"))
	got, err := readStream(t, a)
	assert.Check(t, err != nil)
	assert.Equal(t, got, events(0, 1))
	assert.Equal(t, b.sent(), 1)
}

// Guards against an answer of low confidence that is not escalated to the larger model, and against more attempts than the route
// allows.
func TestModels(t *testing.T) {
	b := &fakeBackend{script: []step{{events: 5, confidence: 10}, {events: 5, confidence: 5}}}
	g, _ := startGateway(t, b)
	got, err := readStream(t, g.Serve(newRequest("/sized/1")))
	assert.NilError(t, err)
	assert.Equal(t, got, events(0, 5))
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, len(b.attempts), 2)
	assert.Equal(t, b.attempts[0].Model, "small")
	assert.Equal(t, b.attempts[1].Model, "large")
	assert.Equal(t, b.attempts[1].LastEventID, int64(NoEvent))
}

// Guards against a request that runs twice although it must not be repeated, because the first answer was dropped for low confidence.
func TestAnswersThatMayNotBeRepeatedAreKept(t *testing.T) {
	for _, path := range []string{"/once/1", "/issue/1"} {
		b := &fakeBackend{script: []step{{events: 5, confidence: 1}}}
		g, _ := startGateway(t, b)
		for range 10 {
			a := g.Serve(newRequest(path))
			if s, ok := a.(*Stream); ok {
				got, err := readStream(t, s)
				assert.NilError(t, err)
				assert.Equal(t, got, events(0, 5))
			}
			_, refused := a.(Refused)
			assert.Check(t, !refused)
		}
		assert.Check(t, b.sent() == 10, "%s: 10 requests ran %d times", path, b.sent())
	}
}

// Guards against a planned stop that refuses a request which could still be served, or starts one that the end of the process
// would break.
func TestStopping(t *testing.T) {
	b := &fakeBackend{script: []step{{events: 3}}}
	g, _ := startGateway(t, b)
	g.Stop()
	_, served := g.Serve(newRequest("/safe/1")).(Buffered)
	assert.Check(t, served)
	g.stopStart.Store(int64(g.Clock.Now().Add(-g.Grace)))
	r, refused := g.Serve(newRequest("/safe/1")).(Refused)
	assert.Check(t, refused && r.Ran == work.NotRun && r.Status == 503)
	assert.Equal(t, b.sent(), 1)
}

// Guards against requests that are started late in a planned stop and are still open when the process ends, and against refusals of those
// that end before.
func TestStoppingStartsWhatCanFinish(t *testing.T) {
	for _, c := range []struct {
		path    string
		timeout clock.Span // of the caller, 0 for that of the route: 5 s, with an objective of 1 s
		after   clock.Span // since the begin of the stop, which ends open requests after 3.6 s
		want    bool
	}{
		{"/safe/1", 0, 0, true}, {"/safe/1", 0, 2500, true}, {"/safe/1", 0, 2700, false}, {"/safe/1", 500, 3000, true}, {"/safe/1", 500, 3300, false},
		{"/unsafe/1", 0, 0, false}, {"/unsafe/1", 1000, 2500, true}, {"/unsafe/1", 1000, 2700, false},
		{"/stream/1", 0, 0, false}, {"/stream/1", 1000, 2500, true},
		{"/resumable/1", 0, 0, true}, {"/resumable/1", 0, 1500, true}, {"/resumable/1", 0, 1700, false}, {"/resumable/1", 1000, 2500, true},
	} {
		b := &fakeBackend{script: []step{{events: 3}}}
		g, _ := startGateway(t, b)
		g.stopStart.Store(int64(g.Clock.Now().Add(-c.after)))
		r := newRequest(c.path)
		r.Timeout = c.timeout
		a := g.Serve(r)
		refused, ok := a.(Refused)
		assert.Check(t, ok != c.want, "%+v", c)
		if ok {
			assert.Check(t, refused.Code == work.CodeStopping && refused.Ran == work.NotRun, "%+v", refused)
			continue
		}
		left := b.attempts[0].TimeLeft
		assert.Check(t, left <= 3600-c.after, "%+v: the server is given %d ms", c, left)
		if s, ok := a.(*Stream); ok {
			assert.NilError(t, s.Close())
		}
	}
}

// Guards against requests that are cut without an answer at the end of a planned stop, because they began before it and last longer.
func TestStopEndsOpenRequests(t *testing.T) {
	b := &fakeBackend{script: []step{{events: 3, stall: true}}}
	g, _ := startGateway(t, b)
	g.Grace = 1200 * clock.Millisecond
	stream, ok := g.Serve(newRequest("/stream/1")).(*Stream)
	assert.Assert(t, ok)
	g.Stop()
	begun := time.Now()
	_, err := io.ReadAll(stream)
	assert.ErrorIs(t, err, ErrBroken)
	assert.NilError(t, stream.Close())
	took := time.Since(begun)
	assert.Check(t, took > 700*time.Millisecond && took < g.Grace.Std(), "the stream was ended after %v", took)
	assert.Equal(t, g.Open(), 0)
}

// Guards against a VM that refuses callers although it reads the configuration a moment later, and against one that makes them
// wait too long if it does not. After a loss of power all VMs of a fleet start together, and their callers arrive at once.
func TestRequestAtStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		known   time.Duration // time from the arrival of the request until the configuration is known, 0 for never
		timeout clock.Span    // of the caller
		code    string        // of the refusal, "" for an answer
		most    time.Duration // bound on the time until the answer
	}{
		{"known soon", 100 * time.Millisecond, 4000, "", 400 * time.Millisecond},
		{"never known", 0, 4000, work.CodeNoDocument, 900 * time.Millisecond},
		{"a caller with a short timeout", 0, 200, work.CodeNoDocument, 180 * time.Millisecond},
	} {
		g, state := startGateway(t, &fakeBackend{script: []step{{}}})
		table := state.table.Swap(nil)
		if c.known > 0 {
			time.AfterFunc(c.known, func() { state.table.Store(table) })
		}
		r := newRequest("/safe/1")
		r.Timeout = c.timeout
		begun := time.Now()
		a := g.Serve(r)
		assert.Check(t, time.Since(begun) < c.most, "%s: %v", c.name, time.Since(begun))
		refused, ok := a.(Refused)
		assert.Equal(t, ok, c.code != "", c.name)
		assert.Equal(t, refused.Code, c.code, c.name)
	}
}

package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// restartServers gives all servers a new incarnation, as when those that ended have started again.
func restartServers(s *fakeState) {
	for i := range s.servers {
		s.servers[i].Born++
	}
}

// Guards against a request that ends one server after another, whatever its route, when it is sent again and again.
func TestRequestThatEndsServersIsRefused(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/stream/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			b := &fakeBackend{deadlyBody: "deadly", script: []step{{events: 5}}, ended: true}
			now := clock.NewManual(1000)
			g, s := startGatewayAt(t, b, now)
			for i := range 60 {
				now.Advance(clock.Second)
				r := newRequest(path)
				r.ID, r.Body = fmt.Sprint("deadly-", i), []byte("deadly")
				_, refused := g.Serve(r).(Refused)
				assert.Assert(t, refused)
				restartServers(s)
				r = newRequest(path)
				r.ID, r.Body = fmt.Sprint("sound-", i), []byte("sound")
				a := g.Serve(r)
				_, refused = a.(Refused)
				assert.Assert(t, !refused, "%+v", a)
			}
			const crashes, later = 3, 3 // reached servers before the request has to be known, and after that
			assert.Check(t, b.deadlySent() <= crashes+later, "%d requests reached servers", b.deadlySent())
		})
	}
}

// Guards against sound requests that are refused because they ran at servers that ended, for another reason or under another request.
func TestRequestsAtEndedServersAreRepeated(t *testing.T) {
	for _, path := range []string{"/safe/1", "/resumable/1"} {
		b := &fakeBackend{script: []step{{fail: true, kind: OutcomeUnknown}, {events: 5}}, ended: true}
		now := clock.NewManual(1000)
		g, s := startGatewayAt(t, b, now)
		g.RetryRatio = 2
		for i := range 20 {
			now.Advance(clock.Second)
			b.mu.Lock()
			b.attempts = nil // the script starts again: the first server ends, the second one answers
			b.mu.Unlock()
			r := newRequest(path)
			r.ID, r.Parts = fmt.Sprint("r-", i), []PromptPart{{"first", 10}, {fmt.Sprint("rare-", i), 10}, {fmt.Sprint("own-", i), 10}}
			a := g.Serve(r)
			stream, ok := a.(*Stream)
			if ok {
				_, err := readStream(t, stream)
				assert.NilError(t, err)
			}
			_, whole := a.(Buffered)
			assert.Assert(t, ok || whole, "%s, request %d: %+v", path, i, a)
			restartServers(s)
		}
	}
}

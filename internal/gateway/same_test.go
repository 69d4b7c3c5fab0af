package gateway

import (
	"fmt"
	"strings"
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

// Guards against a request that ends servers and is not known again because its prompt differs, and against sound requests of the same path
// and caller that are refused beside it.
func TestRequestWithOtherPromptIsRefused(t *testing.T) {
	shared := func(parts ...string) func(i int) []PromptPart {
		return func(i int) (out []PromptPart) {
			for _, p := range parts {
				out = append(out, PromptPart{strings.ReplaceAll(p, "N", fmt.Sprint(i)), 10})
			}
			return out
		}
	}
	for _, c := range []struct {
		name   string
		prompt func(i int) []PromptPart
		body   string // of the sound requests, which have own last parts of their prompts
	}{
		{"nothing", shared("first", "second", "own"), "sound N"},
		{"no prompt", shared(), "sound N"},
		{"the last part", shared("first", "second", "own-N"), "sound N"},
		{"the only part", shared("own-N"), "sound N"},
		{"the last part and a shared one", shared("first", "second-N", "own-N"), "sound N"},
		{"all parts", shared("first-N", "second-N", "own-N"), "sound N"},
		{"a conversation that grows", func(i int) (out []PromptPart) {
			for n := range i + 2 {
				out = append(out, PromptPart{fmt.Sprint("turn-", n), 10})
			}
			return out
		}, "sound N"},
		{"the last part, beside requests without a body", shared("first", "second", "own-N"), ""},
		{"the last part, beside requests with one body", shared("first", "second", "own-N"), "{}"},
	} {
		for _, path := range []string{"/resumable/1", "/unsafe/1"} {
			b := &fakeBackend{deadlyBody: "deadly", script: []step{{events: 5}}, ended: true}
			now := clock.NewManual(1000)
			g, s := startGatewayAt(t, b, now)
			sound := 0
			sendSound := func() {
				sound++
				r := newRequest(path)
				r.ID, r.Body = fmt.Sprint("sound-", sound), []byte(strings.ReplaceAll(c.body, "N", fmt.Sprint(sound)))
				r.Parts = shared("first", "second", "sound-own-N")(sound)
				a := g.Serve(r)
				if stream, ok := a.(*Stream); ok {
					_, err := readStream(t, stream)
					assert.NilError(t, err)
				}
				refusal, refused := a.(Refused)
				assert.Check(t, !refused, "%s, %s: a sound request gets %+v", c.name, path, refusal)
			}
			sendSound()
			for i := range 30 {
				now.Advance(2 * clock.Second)
				r := newRequest(path)
				r.ID, r.Body, r.Parts = fmt.Sprint("deadly-", i), []byte("deadly"), c.prompt(i)
				_, refused := g.Serve(r).(Refused)
				assert.Assert(t, refused)
				restartServers(s)
				now.Advance(600)
				sendSound()
			}
			const crashes, later = 3, 3 // reached servers before the request has to be known, and after that
			assert.Check(t, b.deadlySent() <= crashes+later, "%s, %s: %d requests reached servers", c.name, path, b.deadlySent())
		}
	}
}

// Guards against a request that ends servers and is not known again because many sound requests have its body and are answered.
func TestRequestWithSharedBodyIsRefused(t *testing.T) {
	b := &fakeBackend{deadlyPart: "deadly-own", deadlyLast: beforeHead, script: []step{{events: 5}}, ended: true}
	now := clock.NewManual(1000)
	g, s := startGatewayAt(t, b, now)
	for i := range 30 {
		for _, own := range []string{fmt.Sprint("own-", i), "deadly-own"} {
			now.Advance(clock.Second)
			r := newRequest("/resumable/1")
			r.ID, r.Body, r.Parts = fmt.Sprint(own, i), []byte("{}"), []PromptPart{{"first", 10}, {own, 10}}
			a := g.Serve(r)
			if stream, ok := a.(*Stream); ok {
				_, err := readStream(t, stream)
				assert.NilError(t, err)
			}
			_, refused := a.(Refused)
			assert.Check(t, refused == (own == "deadly-own"), "%s: %+v", own, a)
			restartServers(s)
		}
	}
	assert.Check(t, b.deadlySent() <= 6, "%d requests reached servers", b.deadlySent())
}

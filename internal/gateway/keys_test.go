package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/work"
)

// Guards against a request with a key that runs without the key's workspace on a route that needs no key, and against callers without a
// key that are refused there.
func TestKeysOnPublicRoute(t *testing.T) {
	for _, c := range []struct {
		name, key string
		stale     bool
		status    int
		workspace string // that the server gets
	}{
		{"none", "", false, 200, ""},
		{"none, stale", "", true, 200, ""},
		{"known", "k", false, 200, "w"},
		{"known, stale", "k", true, 503, ""},
		{"unknown, stale", "x", true, 503, ""},
		{"unknown", "x", false, 401, ""},
	} {
		b := &fakeBackend{script: []step{{events: 2}}}
		g, s := startGateway(t, b)
		s.stale.Store(c.stale)
		r := newRequest("/public/1")
		r.Key = c.key
		status := 0
		switch a := g.Serve(r).(type) {
		case Refused:
			status = a.Status
			assert.Equal(t, a.Ran, work.NotRun, c.name)
			assert.Equal(t, a.Retry > 0, c.status == 503, c.name)
		case *Stream:
			status = a.Status
			_, err := readStream(t, a)
			assert.NilError(t, err, c.name)
		}
		assert.Check(t, status == c.status, "%s: status %d", c.name, status)
		b.mu.Lock()
		assert.Check(t, len(b.attempts) == map[bool]int{true: 1}[c.status == 200], "%s: %d attempts", c.name, len(b.attempts))
		for _, a := range b.attempts {
			assert.Check(t, a.Workspace == c.workspace, "%s: runs for workspace %q", c.name, a.Workspace)
		}
		b.mu.Unlock()
	}
}

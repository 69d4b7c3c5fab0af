package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/catalog"
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

// Guards against a stream that goes on at another server for the former workspace of a key, after the key has moved to another one.
func TestKeyMovedBetweenAttempts(t *testing.T) {
	for _, c := range []struct {
		name       string
		workspaces []catalog.Workspace
		goesOn     bool
	}{
		{"it moved", []catalog.Workspace{{Name: "w", Keys: []string{"other"}}, {Name: "v", Keys: []string{"k"}}}, false},
		{"its workspace has another name", []catalog.Workspace{{Name: "v", Keys: []string{"k"}}}, false},
		{"another one got a key", []catalog.Workspace{{Name: "w", Keys: []string{"k"}}, {Name: "v", Keys: []string{"other"}}}, true},
	} {
		for _, path := range []string{"/resumable/1", "/public/1"} {
			b := &fakeBackend{script: []step{{events: 1, broken: true}, {events: 5}}}
			g, s := startGateway(t, b)
			a := g.Serve(newRequest(path))
			cfg := testTable(8).Config
			cfg.Workspaces = c.workspaces
			s.table.Store(catalog.NewTable(cfg))
			got, err := readStream(t, a)
			if c.goesOn {
				assert.NilError(t, err, c.name)
				assert.Equal(t, got, events(0, 5), c.name)
				continue
			}
			assert.Check(t, err != nil, "%s, %s: it ends as complete", c.name, path)
			assert.Check(t, got == events(0, 1), "%s, %s: %q", c.name, path, got)
			assert.Check(t, b.sent() == 1, "%s, %s: %d attempts", c.name, path, b.sent())
		}
	}
}

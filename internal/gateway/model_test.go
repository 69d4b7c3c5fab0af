package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/work"
)

// Guards against a request that runs with another model than its caller named, on a route that leaves the choice to the gateway.
func TestNamedModelIsNotReplaced(t *testing.T) {
	for _, c := range []struct {
		name, path, model string
		stale             bool
		status            int
		sent              string // model that the server gets
	}{
		{"the choice is left to the gateway", "/sized/1", "*", false, 200, "small"},
		{"blanks around it", "/sized/1", " \t* ", false, 200, "small"},
		{"the smallest model", "/sized/1", "small", false, 421, ""},
		{"the largest model", "/sized/1", "large", false, 421, ""},
		{"an unknown model", "/sized/1", "none", false, 421, ""},
		{"none", "/sized/1", "", false, 421, ""},
		{"more than the sign for the choice", "/sized/1", "**", false, 421, ""},
		{"a list", "/sized/1", "*,large", false, 421, ""},
		{"a request that may run once", "/issue/1", "large", false, 421, ""},
		{"the configuration may be out of date", "/sized/1", "large", true, 503, ""},
		{"another route, a model", "/resumable/1", "large", false, 200, "large"},
		{"another route, the choice", "/resumable/1", "*", false, 200, "*"},
		{"another route, none", "/resumable/1", "", false, 200, ""},
	} {
		b := &fakeBackend{script: []step{{events: 2, confidence: 99}}}
		g, s := startGateway(t, b)
		// Without keys a request is served by a configuration that may be out of date.
		s.table.Store(testTableWithoutKeys())
		s.stale.Store(c.stale)
		r := newRequest(c.path)
		r.Model = c.model
		status := 0
		switch a := g.Serve(r).(type) {
		case Refused:
			status = a.Status
			assert.Equal(t, a.Ran, work.NotRun, c.name)
			assert.Equal(t, a.Retry > 0, c.stale, c.name)
		case Buffered:
			status = a.Status
		case *Stream:
			status = a.Status
			_, err := readStream(t, a)
			assert.NilError(t, err, c.name)
		}
		assert.Check(t, status == c.status, "%s: status %d", c.name, status)
		assert.Check(t, b.sent() == map[bool]int{true: 1}[c.status == 200], "%s: %d attempts", c.name, b.sent())
		b.mu.Lock()
		for _, a := range b.attempts {
			model := a.Model
			if model == "" {
				model = a.Request.Model // as the backend passes it on
			}
			assert.Check(t, model == c.sent, "%s: the server gets %q", c.name, model)
		}
		b.mu.Unlock()
	}
}

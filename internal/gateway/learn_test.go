package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/capacity"
	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/core/place"
)

// Guards against a gateway that learns although it is switched off, or does not learn from streams and other answers although it is
// switched on.
func TestLearnSwitch(t *testing.T) {
	for _, c := range []struct {
		path string
		step step
		on   bool
	}{
		{"/resumable/1", step{events: 5}, false}, {"/resumable/1", step{events: 5}, true}, {"/safe/1", step{}, false}, {"/safe/1", step{}, true},
	} {
		g, s := startGateway(t, &fakeBackend{script: []step{c.step}})
		g.Learn = c.on
		for range 6 {
			if c.step.events == 0 {
				w, ok := g.Serve(newRequest(c.path)).(Buffered)
				assert.Check(t, ok && w.Status == 200)
				continue
			}
			_, err := readStream(t, g.Serve(newRequest(c.path)))
			assert.NilError(t, err)
		}
		found := false
		for _, u := range g.Usage() {
			found = found || !u.Evidence.Empty()
		}
		assert.Equal(t, found, c.on, "evidence is reported")
		p := g.pool("s")
		_, learns := p.placer.Policy.(place.LearnedCapacity)
		assert.Equal(t, learns, c.on)
		// The others' evidence of one server says that it takes three times as long.
		heard := &load.Totals{At: g.Clock.Now().Add(clock.Minute), Uses: make(map[string]load.Usage)}
		servers := s.Servers(0, "s")
		for i, v := range servers {
			e := capacity.Evidence{Born: v.Born, Counts: [4]int{9000, 0, 0, 9000}}
			if i == 0 {
				e.Logs = [4]int{9900, 0, 0, 9900}
			}
			heard.Uses[v.ID] = load.Usage{Server: v.ID, Evidence: e}
		}
		s.others.Store(heard)
		p.estimate(g.Clock.Now().Add(clock.Second), servers)
		assert.Equal(t, p.learned.estimates[servers[0].ID].Factor() < lowFactor, c.on)
		assert.Equal(t, p.learned.low[servers[0].ID], c.on)
	}
}

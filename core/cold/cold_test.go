package cold

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/share"
)

// Guards against a limit whose slots, all of them used whenever they are free, send a cold server more in one second than it takes.
func TestSlotsKeepToEverySecond(t *testing.T) {
	for r := 1; r < 20000; r++ {
		rate := float64(r) / 100
		slots, hold := share.RateSlots(Rate(rate), extra(rate))
		uses := int((clock.Second-1)/hold) + 1
		assert.Assert(t, float64(slots*uses) <= overshoot*rate+slack, "rate %g: %d slots, each used %d times", rate, slots, uses)
		assert.Assert(t, float64(slots)*float64(clock.Second) <= max(Rate(rate), 0.1)*float64(hold), "rate %g: %d slots for %d ms", rate, slots, hold)
	}
}

// Guards against a server that gets requests by its limit while other VMs may still take it for warm, one that gets none although no
// VM can, a limit that does not end, and limits where the configuration has none.
func TestTracker(t *testing.T) {
	server := func(cold clock.Span) []backend.Server { return []backend.Server{{ID: "a", Cold: cold}} }
	for _, c := range []struct {
		name    string
		before  []backend.Server
		elapsed clock.Span
		rate    float64
		now     []backend.Server
		want    map[string]Limit
	}{
		{"new and cold", nil, 100, 4, server(900), map[string]Limit{"a": {Rate: 4, Extra: 2, Left: 900}}},
		{"was warm", server(0), 100, 4, server(900), map[string]Limit{"a": {Rate: 4, Extra: 2, Withheld: true, Left: 900}}},
		{"was warm long ago", server(0), propagationTime, 4, server(900), map[string]Limit{"a": {Rate: 4, Extra: 2, Left: 900}}},
		{"still cold", server(2000), 100, 4, server(1900), map[string]Limit{"a": {Rate: 4, Extra: 2, Left: 1900}}},
		{"warm", server(100), 100, 4, server(0), nil},
		{"no limit", nil, 100, 0, server(900), nil},
	} {
		var tracker Tracker
		rates := map[string]float64{"s": c.rate}
		if c.rate == 0 {
			rates = nil
		}
		tracker.Update(1000, rates, func(string) []backend.Server { return c.before })
		got := tracker.Update(clock.Time(1000).Add(c.elapsed), rates, func(string) []backend.Server { return c.now })
		assert.DeepEqual(t, got["s"], c.want)
	}
}

// Guards against a server that comes and goes, or stays warm, and is logged each time.
func TestChangesAreSaidOnce(t *testing.T) {
	var said []bool
	tracker := Tracker{OnChange: func(_ backend.Server, cold bool, _ float64) { said = append(said, cold) }}
	for i, cold := range []clock.Span{0, 0, 300, 200, 100, 0, 0} {
		tracker.Update(clock.Time(1000+100*i), map[string]float64{"s": 4}, func(string) []backend.Server {
			return []backend.Server{{ID: "a", Cold: cold}}
		})
	}
	assert.DeepEqual(t, said, []bool{true, false})
}

package feed

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/clock"
)

// Guards against a version that was rolled back and gets requests again with the next order, as one of the versions before that order,
// until its servers have left.
func TestWithdrawnVersionGetsNoRequests(t *testing.T) {
	server := func(version string, made uint64) backend.Server {
		return backend.Server{ID: "i-" + version, Version: version, Made: made}
	}
	v1, v2, v3, v4 := server("v1", 1), server("v2", 5), server("v3", 9), server("v4", 12)
	order := func(target string, created uint64, state canary.State) canary.Order {
		return canary.Order{Service: "s", Target: target, Duration: 20 * clock.Second, CreateRevision: created, State: state}
	}
	for _, c := range []struct {
		name   string
		orders []canary.Order
		all    []backend.Server
		want   string // versions that may get requests in the first half of the last order
	}{
		{"the order after", []canary.Order{order("v2", 4, canary.Running), order("v2", 4, canary.RolledBack), order("v3", 8, canary.Running)},
			[]backend.Server{v3, v2, v1}, "v1"},
		{"the object of the order is the same", []canary.Order{order("v2", 4, canary.RolledBack), order("v3", 4, canary.New)}, []backend.Server{v2, v1, v3}, "v1"},
		{"three orders in a row", []canary.Order{
			order("v2", 4, canary.RolledBack), order("v3", 8, canary.RolledBack), order("v4", 11, canary.Running),
		}, []backend.Server{v2, v3, v1, v4}, "v1"},
		{"it is rolled back as well", []canary.Order{order("v2", 4, canary.RolledBack), order("v3", 8, canary.RolledBack)}, []backend.Server{v2, v3, v1}, "v1"},
		{"a VM that was started after the first order", []canary.Order{order("v3", 8, canary.Running)}, []backend.Server{v3, v2, v1}, "v1"},
		{"the order before was done", []canary.Order{order("v2", 4, canary.Done), order("v3", 8, canary.Running)}, []backend.Server{v3, v2}, "v2"},
		{"the order before was done, and an entry of the version before it is still there", []canary.Order{
			order("v2", 4, canary.Done), order("v3", 8, canary.Running),
		}, []backend.Server{v3, v2, v1}, "v2 v1"},
		{"the end of the order before was not seen", []canary.Order{order("v2", 4, canary.Running), order("v3", 8, canary.Running)},
			[]backend.Server{v3, v2, v1}, "v1"},
		{"ordered once more", []canary.Order{order("v2", 4, canary.RolledBack), order("v2", 8, canary.Done), order("v3", 11, canary.Running)}, []backend.Server{v2, v3}, "v2"},
		{"another service", []canary.Order{
			{Service: "t", Target: "v1", Duration: 20 * clock.Second, State: canary.RolledBack}, {Service: "t", Target: "v2", Duration: 20 * clock.Second},
		}, []backend.Server{v1}, "v1"},
	} {
		b := &Rollouts{}
		for i, o := range c.orders {
			b.put(clock.Time(1000*i), 0, o)
		}
		for _, session := range []string{"", "x", "y"} {
			var got []string
			for _, v := range b.Choose(clock.Time(1000*len(c.orders)), "s", session, c.all) {
				got = append(got, v.Version)
			}
			assert.Check(t, strings.Join(got, " ") == c.want, "%s: %v", c.name, got)
		}
	}

	b := &Rollouts{}
	b.put(0, 0, order("v2", 4, canary.RolledBack))
	b.remove("s")
	assert.Equal(t, b.Choose(1000, "s", "", []backend.Server{v2, v3})[0].Version, "v3", "the order was removed")
	assert.Equal(t, b.Choose(1000, "s", "", []backend.Server{v2})[0].Version, "v2", "nothing else is left")
}

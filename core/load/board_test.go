package load

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against sums that count a VM twice, keep what it no longer has, or tell it its own requests as those of others.
func TestSum(t *testing.T) {
	b := Board{Keep: 1000}
	b.Put(0, "a", []Use{{Server: "x", Open: 2, Unread: 500, Quiet: 40}, {Server: "y", Open: 1}})
	b.Put(100, "b", []Use{{Server: "x", Open: 3, Unread: 100, Quiet: 300}})
	for _, c := range []struct {
		name    string
		now     clock.Time
		without string
		want    map[string]Use
	}{
		{"all", 200, "", map[string]Use{"x": {Server: "x", Open: 5, Unread: 600, Quiet: 240}, "y": {Server: "y", Open: 1, Quiet: 200}}},
		{"without the one that asks", 200, "a", map[string]Use{"x": {Server: "x", Open: 3, Unread: 100, Quiet: 400}}},
		{"an old report", 1050, "", map[string]Use{"x": {Server: "x", Open: 3, Unread: 100, Quiet: 1250}}},
	} {
		v := b.Sum(c.now, c.without)
		assert.DeepEqual(t, len(v.Uses), len(c.want))
		for server, want := range c.want {
			assert.Equal(t, v.Uses[server], want, c.name)
		}
	}
	b.Put(1060, "b", []Use{{Server: "x", Open: 1}})
	assert.Equal(t, b.Sum(1060, "").Uses["x"].Open, 1, "a report takes the place of the one before")
}

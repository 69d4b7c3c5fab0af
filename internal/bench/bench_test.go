package bench

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a measure that is reported as reached when one seed falls short of the goal.
func TestLineJudgesWorstSeed(t *testing.T) {
	tests := []struct {
		line line
		want string
	}{
		{line{name: "a", policy: "p", got: []float64{1, 1.1, 1.3}, naive: "n", baseline: []float64{2}, goal: 1.2},
			"bench a policy=p got=1.1[1..1.3] baseline=n:2[2..2] goal=<=1.2 short\n"},
		{line{got: []float64{1, 1.2}, goal: 1.2}, "goal=<=1.2 ok\n"},
		{line{got: []float64{8, 9}, goal: 9, least: true}, "goal=>=9 short\n"},
		{line{got: []float64{8, 9}, info: true}, "goal=none ok\n"},
	}
	for _, tt := range tests {
		var b strings.Builder
		ok := tt.line.write(&b)
		assert.Check(t, strings.HasSuffix(b.String(), tt.want), b.String())
		assert.Equal(t, ok, strings.HasSuffix(tt.want, "ok\n"))
	}
}

// Guards against results that depend on anything but the seed: a comparison of two policies would then mean nothing.
func TestSameSeedSameResult(t *testing.T) {
	u := users()[1]
	var a, b strings.Builder
	for _, w := range []*strings.Builder{&a, &b} {
		for _, l := range ranks(u, []uint64{3}) {
			l.write(w)
		}
	}
	assert.Equal(t, a.String(), b.String())
}

package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/internal/follow"
	"shallotrun/internal/settings"
)

// Guards against a bound on evacuations that is exceeded behind a silent upstream, as the settings name no other bound or a longer one.
func TestApplyWithin(t *testing.T) {
	for _, c := range []struct{ apply, evacuate, want clock.Span }{
		{0, 0, follow.DefaultApply},
		{3000, 0, 3000},
		{3000, 5000, 3000},
		{3000, 1000, 1000},
		{0, 1000, 1000},
		{0, 5000, follow.DefaultApply},
	} {
		assert.Equal(t, applyWithin(&settings.Front{Apply: c.apply, Evacuate: c.evacuate}), c.want, "%+v", c)
	}
}

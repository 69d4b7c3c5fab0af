package fresh

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against serving a revoked key after the bound because an old or empty answer was taken as proof.
func TestTracker(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(p *Tracker)
		now  clock.Time
		want bool
	}{
		{"nothing read", func(*Tracker) {}, 1000, false},
		{"just read", func(p *Tracker) { p.RecordRead(1000) }, 1100, true},
		{"read at the end of the bound", func(p *Tracker) { p.RecordRead(1000) }, 6000, false},
		{"within the margin", func(p *Tracker) { p.RecordRead(1000) }, 5700, false},
		{"an older read does not set the time back", func(p *Tracker) { p.RecordRead(5000); p.RecordRead(1000) }, 9000, true},
		{"a watch proves the time of its wait", func(p *Tracker) { p.RecordRead(1000); p.RecordWatch(1100, 3200, 2000) }, 6500, true},
		{"a watch proves nothing about the end of its wait", func(p *Tracker) { p.RecordWatch(1100, 3100, 2000) }, 6700, false},
		{"a read of a store that came back older proves nothing", func(p *Tracker) { p.RecordRead(1000); p.Distrust(5000); p.RecordRead(4900) }, 5800, false},
		{"nor does a watch", func(p *Tracker) { p.RecordRead(1000); p.Distrust(5000); p.RecordWatch(5100, 6100, 1000) }, 6200, false},
		{"a later read does", func(p *Tracker) { p.RecordRead(1000); p.Distrust(5000); p.RecordRead(5000) }, 9600, true},
		{"so does the proof of another VM", func(p *Tracker) { p.Distrust(5000); p.RecordProof(4900) }, 9500, true},
		{"earlier proofs stay", func(p *Tracker) { p.RecordRead(4000); p.Distrust(5000) }, 8600, true},
		{"a late answer proves no more than the wait", func(p *Tracker) { p.RecordWatch(1100, 9000, 2000) }, 9000, false},
	} {
		p := &Tracker{MaxAge: 5000}
		c.do(p)
		assert.Equal(t, p.Fresh(c.now), c.want, c.name)
	}
}

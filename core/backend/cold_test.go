package backend

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// left returns how long the only server of a set is still cold.
func left(s *Set, now clock.Time) clock.Span { return s.Servers(now, "s")[0].Cold }

// Guards against a server that is taken for warm before its entry says so, and for cold for longer each time that its entry is read
// again or comes from another VM.
func TestColdServersBecomeWarmOnce(t *testing.T) {
	entry := Server{ID: "a", Service: "s", Born: 1, Cold: 3000, ColdRev: 7}
	for _, c := range []struct {
		name string
		next func(s *Set)
		want clock.Span // 1 s after the entry became known
	}{
		{"nothing else", func(*Set) {}, 2000},
		{"listed again", func(s *Set) { s.Replace(1500, []Server{entry}) }, 2000},
		{"put again", func(s *Set) { s.Put(1500, entry) }, 2000},
		{"written again with less left", func(s *Set) { s.Put(1500, Server{ID: "a", Service: "s", Born: 1, Cold: 2000, ColdRev: 8}) }, 1500},
		{"cold again", func(s *Set) { s.Put(1500, Server{ID: "a", Service: "s", Born: 1, Cold: 3000, ColdRev: 8}) }, 2500},
		{"started again", func(s *Set) { s.Put(1500, Server{ID: "a", Service: "s", Born: 2, Cold: 3000, ColdRev: 7}) }, 2500},
		{"warm", func(s *Set) { s.Put(1500, Server{ID: "a", Service: "s", Born: 1}) }, 0},
		{"a restored store gives its revision out again", func(s *Set) { s.Restored(1500); s.Replace(1500, []Server{entry}) }, 2500},
	} {
		var s Set
		s.Put(1000, entry)
		c.next(&s)
		assert.Check(t, left(&s, 2000) == c.want, "%s: %d ms", c.name, left(&s, 2000))
		assert.Check(t, left(&s, 2000+clock.Time(c.want)) == 0, c.name)
	}
}

// Guards against a VM that starts later, gets the entry from another one, and takes a server for cold that has long been warm.
func TestEntriesArePassedOnAsOfNow(t *testing.T) {
	entry := Server{ID: "a", Service: "s", Born: 1, Cold: 3000, ColdRev: 7}
	var s, later Set
	s.Put(1000, entry)
	assert.Equal(t, s.AsOf(3000, entry).Cold, clock.Span(1000))
	assert.Check(t, s.AnyCold(3999))
	assert.Check(t, s.AnyCold(4000), "the last one became warm since the last call")
	assert.Check(t, !s.AnyCold(5000))
	later.Put(90_000, s.AsOf(90_000, entry))
	assert.Equal(t, left(&later, 90_000), clock.Span(0))
	again := entry
	again.ColdRev = 9
	assert.Equal(t, s.AsOf(90_000, again).Cold, clock.Span(3000), "an entry that this VM does not know")
}

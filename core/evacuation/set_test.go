package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
)

// Guards against servers of an evacuated domain that get requests, against others that get none, and against an evacuation that ends
// because the store lost it for a moment, or never ends.
func TestSplit(t *testing.T) {
	const start, keep = clock.Time(1000), 2 * clock.Second
	tests := []struct {
		name   string
		apply  func(s *Set)
		after  clock.Span
		usable string // domains of the servers that may get requests
		wait   clock.Span
	}{
		{"none", func(*Set) {}, 0, "abc", 0},
		{"one", func(s *Set) { s.Put(start, "a") }, 0, "bc", 0},
		{"unknown domain", func(s *Set) { s.Put(start, "elsewhere") }, 0, "abc", 0},
		{"taken back", func(s *Set) { s.Put(start, "a"); s.Remove("a") }, 0, "abc", 0},
		{"all, just now", func(s *Set) { s.Replace(start, []string{"a", "b", "c"}, 0) }, 0, "", minWait},
		{"all, the last one a while ago", func(s *Set) { s.Put(0, "a"); s.Put(0, "b"); s.Put(start, "c") }, 5000, "", 5000},
		{"all, long ago", func(s *Set) { s.Replace(start, []string{"a", "b", "c"}, 0) }, clock.Minute, "", maxWait},
		{"written again", func(s *Set) { s.Put(0, "a"); s.Put(start, "a"); s.Put(0, "b"); s.Put(0, "c") }, 4000, "", 5000},
		{"not listed any more", func(s *Set) { s.Put(start, "a"); s.Replace(start, []string{"b"}, 0) }, 0, "ac", 0},
		{"lost by the store", func(s *Set) { s.Put(start, "a"); s.Replace(start, nil, keep) }, keep - 1, "bc", 0},
		{"lost for good", func(s *Set) { s.Put(start, "a"); s.Replace(start, nil, keep) }, keep, "abc", 0},
		{"lost and written again", func(s *Set) { s.Put(start, "a"); s.Replace(start, nil, keep); s.Put(start, "a") }, clock.Minute, "bc", 0},
		{"lost and taken back", func(s *Set) { s.Put(start, "a"); s.Replace(start, nil, keep); s.Remove("a") }, 0, "abc", 0},
	}
	for _, tt := range tests {
		var s Set
		tt.apply(&s)
		now := start.Add(tt.after)
		s.Expire(now)
		usable, away, wait := s.Split(now, []backend.Server{{ID: "1", Domain: "a"}, {ID: "2", Domain: "b"}, {ID: "3", Domain: "c"}})
		got := ""
		for _, v := range usable {
			got += v.Domain
		}
		assert.Equal(t, got, tt.usable, tt.name)
		assert.Equal(t, len(usable)+len(away), 3, tt.name)
		assert.Equal(t, wait, tt.wait, tt.name)
	}
}

// Guards against log lines of changes that are none, and changes without one.
func TestReplaceNamesChanges(t *testing.T) {
	var s Set
	begun, ended := s.Replace(0, []string{"a", "b"}, 0)
	assert.DeepEqual(t, begun, []string{"a", "b"})
	assert.Equal(t, len(ended), 0)
	begun, ended = s.Replace(0, []string{"b", "c"}, 0)
	assert.DeepEqual(t, begun, []string{"c"})
	assert.DeepEqual(t, ended, []string{"a"})
	_, ended = s.Replace(0, nil, clock.Second)
	assert.Equal(t, len(ended), 0)
	_, ended = s.Replace(500, nil, 0)
	assert.Equal(t, len(ended), 0, "evacuations that the store lost end before they can be written again")
	assert.DeepEqual(t, s.Expire(1000), []string{"b", "c"})
	assert.Equal(t, s.Len(), 0)
}

package backend

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against requests to servers that are known to leave or to be gone, and against servers that are lost, when the store comes
// back from an older copy.
func TestStoreCameBackOlder(t *testing.T) {
	ready := func(id string, born int64) Server { return Server{ID: id, Service: "s", Born: born, Made: 9} }
	leaving := func(id string, born int64) Server {
		v := ready(id, born)
		v.Leaving = true
		return v
	}
	const restored = clock.Time(10_000)
	tests := []struct {
		name   string
		before func(s *Set)
		list   []Server // of the older copy
		after  func(s *Set)
		at     clock.Span // after the list
		want   string
	}{
		{"missing in the copy", func(s *Set) { s.Put(1, ready("a", 1)) }, nil, nil, 1000, "a"},
		{"still missing after the grace period", func(s *Set) { s.Put(1, ready("a", 1)) }, nil, nil, recoveryGrace, ""},
		{"written again", func(s *Set) { s.Put(1, ready("a", 1)) }, nil, func(s *Set) { s.Put(restored+900, ready("a", 1)) }, recoveryGrace, "a"},
		{"leaving", func(s *Set) { s.Put(1, leaving("a", 1)) }, []Server{ready("a", 1)}, nil, 1000, ""},
		{"leaving, but its next start is not", func(s *Set) { s.Put(1, leaving("a", 1)) }, []Server{ready("a", 2)}, nil, 1000, "a"},
		{"leaving, and ready later", func(s *Set) { s.Put(1, leaving("a", 1)) }, []Server{ready("a", 1)}, func(s *Set) { s.Put(restored+900, ready("a", 1)) }, 1000, "a"},
		{"gone", func(s *Set) { s.Put(1, ready("a", 1)); s.Remove(9000, "a") }, []Server{ready("a", 1)}, nil, 1000, ""},
		{"gone, and removed again", func(s *Set) { s.Put(1, ready("a", 1)); s.Remove(9000, "a") }, []Server{ready("a", 1)}, func(s *Set) { s.Remove(restored+3600, "a") }, outdatedSpan, ""},
		{"gone, and listed for good", func(s *Set) { s.Put(1, ready("a", 1)); s.Remove(9000, "a") }, []Server{ready("a", 1)}, nil, outdatedSpan, "a"},
		{"gone long before", func(s *Set) { s.Put(1, ready("a", 1)); s.Remove(2, "a") }, []Server{ready("b", 1)}, nil, 1000, "b"},
		{"new", nil, []Server{ready("n", 1)}, nil, 0, "n"},
	}
	for _, tt := range tests {
		s := &Set{}
		s.Replace(0, nil)
		if tt.before != nil {
			tt.before(s)
		}
		s.Restored(restored)
		s.Replace(restored, tt.list)
		if tt.after != nil {
			tt.after(s)
		}
		var got []string
		for _, v := range s.Servers(restored.Add(tt.at), "s") {
			got = append(got, v.ID)
		}
		assert.Equal(t, strings.Join(got, " "), tt.want, tt.name)
	}
}

// Guards against a server of the new version that passes for the oldest one, because the entries of all others were written again
// at later revisions.
func TestServerKeepsTheRevisionOfItsFirstEntry(t *testing.T) {
	s := &Set{}
	s.Replace(0, []Server{{ID: "a", Service: "s", Born: 5, Made: 3}})
	s.Remove(100, "a")
	s.Put(200, Server{ID: "a", Service: "s", Born: 5, Made: 30})
	assert.Equal(t, s.Servers(300, "s")[0].Made, uint64(3))
	s.Put(400, Server{ID: "a", Service: "s", Born: 6, Made: 40})
	assert.Equal(t, s.Servers(500, "s")[0].Made, uint64(40))
}

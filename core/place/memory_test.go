package place

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against prompt memory that is given to two requests, which makes the server preempt one of them, while another server has room;
// against a request that no server takes because all are full; and against servers of unknown memory that are left out.
func TestWithRoom(t *testing.T) {
	server := func(name string, memory, held int) Candidate {
		return Candidate{Name: name, Memory: memory, TokensHeld: held}
	}
	for _, c := range []struct {
		name string
		in   []Candidate
		need int
		want []string
	}{
		{"room at all", []Candidate{server("a", 100, 0), server("b", 100, 50)}, 50, []string{"a", "b"}},
		{"one is full", []Candidate{server("a", 100, 51), server("b", 100, 50)}, 50, []string{"b"}},
		{"held beyond its memory", []Candidate{server("a", 100, 300), server("b", 100, 50)}, 50, []string{"b"}},
		{"all full", []Candidate{server("a", 100, 90), server("b", 100, 60), server("c", 100, 70)}, 50, []string{"b", "c"}},
		{"all equally full", []Candidate{server("a", 100, 90), server("b", 100, 90)}, 50, []string{"a", "b"}},
		{"larger than any", []Candidate{server("a", 100, 0), server("b", 100, 10)}, 500, []string{"a"}},
		{"memory not known", []Candidate{server("a", 0, 900), server("b", 0, 0)}, 50, []string{"a", "b"}},
		{"size not known", []Candidate{server("a", 100, 100), server("b", 100, 0)}, 0, []string{"a", "b"}},
	} {
		var got []string
		for _, v := range withRoom(c.in, c.need) {
			got = append(got, v.Name)
		}
		assert.Check(t, slices.Equal(got, c.want), "%s: %v", c.name, got)
	}
	var p Placer
	name, ok := p.Pick(0, Request{Memory: 50}, []Candidate{server("a", 100, 51), server("b", 100, 0)})
	assert.Check(t, ok && name == "b")
}

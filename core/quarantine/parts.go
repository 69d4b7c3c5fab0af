package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// HashPart returns the hash that stands for a part wherever its name is not kept. That of a whole request is the one in its name.
func HashPart(name string) uint64 {
	if hex, ok := strings.CutPrefix(name, wholePrefix); ok {
		if h, err := strconv.ParseUint(hex, 16, 64); err == nil {
			return h
		}
	}
	return xxhash.Sum64String(name)
}

// Tail are the shared parts of a prompt behind the first ones, which have names. Any of them can be to blame, and a prompt can have
// hundreds, so they are known by their hashes. These are computed when they are first needed: most requests need none. A nil *Tail has
// no parts. Its methods are safe for concurrent use.
type Tail struct {
	n      int
	name   func(i int) string
	once   sync.Once
	hashes []uint64 // set by once
}

// NewTail returns the tail of n parts, nil for none. name returns the name of a part and must go on to do so.
func NewTail(n int, name func(i int) string) *Tail {
	if n <= 0 {
		return nil
	}
	return &Tail{n: n, name: name}
}

// Hashes returns the hashes of the parts, sorted. It must not be changed.
func (t *Tail) Hashes() []uint64 {
	if t == nil {
		return nil
	}
	t.once.Do(func() {
		out := make([]uint64, t.n)
		for i := range out {
			out[i] = HashPart(t.name(i))
		}
		slices.Sort(out)
		t.hashes = slices.Compact(out)
	})
	return t.hashes
}

// hashNames returns the hashes of parts, in their order.
func hashNames(names []string) []uint64 {
	out := make([]uint64, len(names))
	for i, p := range names {
		out[i] = HashPart(p)
	}
	return out
}

// hashes returns the hashes of all parts, sorted.
func (c *Content) hashes() []uint64 {
	out := append(hashNames(c.Parts), c.Tail.Hashes()...)
	if c.Body != 0 {
		out = append(out, c.Body)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// among returns the hashes of the parts that a sorted set has, sorted. The tail's hashes are not kept for that: few prompts have any in it.
func (c *Content) among(set []uint64) (out []uint64) {
	if len(set) == 0 {
		return nil
	}
	add := func(h uint64) {
		if contains(set, h) {
			out = append(out, h)
		}
	}
	for _, p := range c.Parts {
		add(HashPart(p))
	}
	if c.Tail != nil {
		for i := range c.Tail.n {
			add(HashPart(c.Tail.name(i)))
		}
	}
	if c.Body != 0 {
		add(c.Body)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// without returns the elements of a that b lacks; both are sorted. It returns a itself if b has none of them.
func without(a, b []uint64) []uint64 {
	drop := common(a, b)
	if len(drop) == 0 {
		return a
	}
	out := make([]uint64, 0, len(a)-len(drop))
	for _, h := range a {
		if len(drop) > 0 && drop[0] == h {
			drop = drop[1:]
			continue
		}
		out = append(out, h)
	}
	return out
}

// common returns the elements that two sorted sets have in common.
func common(a, b []uint64) (out []uint64) {
	if len(a) > len(b) {
		a, b = b, a
	}
	if searchFactor*len(a) < len(b) { // most requests have few parts
		for _, h := range a {
			if contains(b, h) {
				out = append(out, h)
			}
		}
		return out
	}
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] < b[0]:
			a = a[1:]
		case a[0] > b[0]:
			b = b[1:]
		default:
			out, a, b = append(out, a[0]), a[1:], b[1:]
		}
	}
	return out
}

// searchFactor is how many times as large a set has to be for a search of each element of the other one to be faster than a merge.
const searchFactor = 8

// contains reports whether a sorted set has an element.
func contains(set []uint64, h uint64) bool {
	_, ok := slices.BinarySearch(set, h)
	return ok
}

// maxShown is the number of parts of a tail that a rule or refusal names.
const maxShown = 3

// Describe returns the names of parts that are known by them, and then those of a tail: the first few by the names that name returns, and
// how many more there are.
func Describe(names []string, rest []uint64, name func(h uint64) string) []string {
	out := slices.Clone(names)
	for _, h := range rest[:min(len(rest), maxShown)] {
		out = append(out, name(h))
	}
	if n := len(rest) - maxShown; n > 0 {
		out = append(out, fmt.Sprintf("%d more", n))
	}
	return out
}

// HashName returns the text that stands for a part of which only the hash is known.
func HashName(h uint64) string { return fmt.Sprintf("#%016x", h) }

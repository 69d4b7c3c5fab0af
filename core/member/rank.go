package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the first n of names in the order of their rendezvous hashes for key: each key has its own order, and adding or
// removing a name does not change the order of the others.
func Rank(key string, names []string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, s := range names {
		all = append(all, scored{s, score(key, s)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.name)
	}
	return out
}

// score returns the rendezvous hash of a name for a key.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

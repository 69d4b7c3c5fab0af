package claim

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/member"
)

// holders is the size of a trio in a domain of at least that many VMs.
const holders = 3

// maxPast is the number of earlier rosters in a roster. A VM that missed more starts as one without tables.
const maxPast = 8

// Roster lists the VMs of a domain that keep claims. It is the value of the platform's object
// holders/DOMAIN and is replaced by conditional update only.
type Roster struct {
	Domain string            `json:"domain" cbor:"domain"`
	Epoch  uint64            `json:"epoch" cbor:"epoch"`
	Names  []string          `json:"names" cbor:"names"` // sorted
	Incs   map[string]uint64 `json:"incs" cbor:"incs"`   // incarnations when the name was added
	Past   [][]string        `json:"past" cbor:"past"`   // names of the epochs before, the latest first
}

// Next returns the roster that follows r, with the given names and their present incarnations.
func (r Roster) Next(incs map[string]uint64) Roster {
	n := Roster{Domain: r.Domain, Epoch: r.Epoch + 1, Names: slices.Sorted(maps.Keys(incs)), Incs: maps.Clone(incs)}
	for _, s := range r.Names {
		if _, ok := n.Incs[s]; ok {
			n.Incs[s] = r.Incs[s]
		}
	}
	if r.Epoch > 0 {
		n.Past = append([][]string{r.Names}, r.Past...)
		n.Past = n.Past[:min(len(n.Past), maxPast)]
	}
	return n
}

// Trio returns the holders of a key.
func (r Roster) Trio(key string) []string { return trio(r.Names, key) }

// held reports whether a VM is or was a holder of the key. The table that it copies has to cover the rosters
// of which it still lacks something, because its doubts about them concern other VMs too.
func (r Roster) held(key, name string) bool {
	return slices.Contains(r.Trio(key), name) ||
		slices.ContainsFunc(r.Past, func(names []string) bool { return slices.Contains(trio(names, key), name) })
}

// since returns the names of the epochs from epoch on, without r's own. It fails when r does not reach back
// that far.
func (r Roster) since(epoch uint64) ([][]string, bool) {
	n := int(r.Epoch - epoch)
	if n > len(r.Past) {
		return nil, false
	}
	return r.Past[:n], true
}

// Need returns how many of n holders have to vote for a token.
func Need(n int) int { return n/2 + 1 }

// Home returns the home domain of a key: the domain named before the first dot, or one by hash over the
// document's domains. It returns "" when there are no domains.
func Home(key string, domains []string) string {
	if p, _, ok := strings.Cut(key, "."); ok && slices.Contains(domains, p) {
		return p
	}
	if h := member.Rank(key, domains, 1); len(h) > 0 {
		return h[0]
	}
	return ""
}

// ID returns the name under which a workspace's key is claimed. Two different keys must not share it, and
// its length is bounded: two 64-bit hashes with different prefixes make a collision negligible.
func ID(workspace, key string) string {
	var d xxhash.Digest
	var b []byte
	for _, salt := range []string{"1", "2"} {
		d.Reset()
		_, _ = d.WriteString(salt + workspace + "\x00" + key)
		b = d.Sum(b)
	}
	return hex.EncodeToString(b)
}

func trio(names []string, key string) []string { return member.Rank(key, names, holders) }

package claim

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/member"
)

// replicaCount is the number of replicas of a key in a domain with at least as many VMs.
const replicaCount = 3

// maxPast is the number of earlier rosters that a roster lists. A VM that missed more epochs starts like one without a
// table.
const maxPast = 8

// Roster lists the VMs of a domain that can be replicas. It is the value of the object holders/DOMAIN in the platform's
// store and is replaced by conditional update only.
type Roster struct {
	Domain string            `json:"domain" cbor:"domain"`
	Epoch  uint64            `json:"epoch" cbor:"epoch"`
	Names  []string          `json:"names" cbor:"names"` // sorted
	Incs   map[string]uint64 `json:"incs" cbor:"incs"`   // incarnation of each VM when it was added
	Past   [][]string        `json:"past" cbor:"past"`   // names in the epochs before, the latest first
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

// Replicas returns the replicas of a key.
func (r Roster) Replicas(key string) []string { return replicas(r.Names, key) }

// everReplica reports whether a VM is or was a replica of the key. The table that it copies has to cover the earlier rosters
// too, because its gaps in them are passed on to other VMs.
func (r Roster) everReplica(key, name string) bool {
	return slices.Contains(r.Replicas(key), name) ||
		slices.ContainsFunc(r.Past, func(names []string) bool { return slices.Contains(replicas(names, key), name) })
}

// namesSince returns the names in the epochs from epoch to the one before r's, and false if r does not list that many.
func (r Roster) namesSince(epoch uint64) ([][]string, bool) {
	n := int(r.Epoch - epoch)
	if n > len(r.Past) {
		return nil, false
	}
	return r.Past[:n], true
}

// Quorum returns how many of n replicas have to vote for a token.
func Quorum(n int) int { return n/2 + 1 }

// KeyDomain returns the failure domain that a key belongs to: the one that the key names before its first dot, otherwise
// one by rendezvous hash over the configured domains. It returns "" if there are no domains.
func KeyDomain(key string, domains []string) string {
	if p, _, ok := strings.Cut(key, "."); ok && slices.Contains(domains, p) {
		return p
	}
	if h := member.Rank(key, domains, 1); len(h) > 0 {
		return h[0]
	}
	return ""
}

// ID returns the name under which a workspace's key is claimed. Its length is bounded, and different keys must not share
// it: two 64-bit hashes with different prefixes make a collision negligible.
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

func replicas(names []string, key string) []string { return member.Rank(key, names, replicaCount) }

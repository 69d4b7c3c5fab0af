package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

// How long a VM that did not answer is avoided: the first time, and at most.
const (
	avoidFirst = 3 * clock.Second
	avoidMost  = 15 * clock.Second
)

// choose returns the VM to ask: the first of the failure domain that is not avoided, or false if that is this VM itself or there is
// none. All VMs of a domain have the same order. A VM that others cannot follow comes after all that they can.
func choose(self feed.Member, all []feed.Member, avoided func(name string) bool) (feed.Member, bool) {
	for _, m := range order(inDomain(self.Domain, all)) {
		if m.Name == self.Name {
			return feed.Member{}, false
		}
		if !avoided(m.Name) {
			return m, true
		}
	}
	return feed.Member{}, false
}

// position returns the place of this VM in the order of its failure domain, false if others cannot follow it.
func position(self feed.Member, all []feed.Member) (int, bool) {
	i := slices.IndexFunc(order(inDomain(self.Domain, all)), func(m feed.Member) bool { return m.Name == self.Name })
	return i, i >= 0
}

// firsts returns the first VM of each other failure domain that is not avoided.
func firsts(self feed.Member, all []feed.Member, avoided func(name string) bool) (out []feed.Member) {
	seen := map[string]bool{self.Domain: true}
	for _, m := range all {
		if seen[m.Domain] {
			continue
		}
		seen[m.Domain] = true
		in := order(inDomain(m.Domain, all))
		if i := slices.IndexFunc(in, func(m feed.Member) bool { return !avoided(m.Name) }); i >= 0 {
			out = append(out, in[i])
		}
	}
	return out
}

func inDomain(domain string, all []feed.Member) (out []feed.Member) {
	for _, m := range all {
		if m.Domain == domain {
			out = append(out, m)
		}
	}
	return out
}

// order sorts the VMs of a domain: those with most processor time first, since the first one answers all others, then by a
// hash of their names.
func order(in []feed.Member) []feed.Member {
	slices.SortFunc(in, func(a, b feed.Member) int {
		return cmp.Or(
			cmp.Compare(b.Power, a.Power),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return in
}

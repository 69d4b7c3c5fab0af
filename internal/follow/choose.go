package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

// Bounds of the backoff in which a VM that failed is avoided.
const (
	minAvoid = 3 * clock.Second
	maxAvoid = 15 * clock.Second
)

// eligibleUpstreams returns the VMs that this one may follow, best first: those of its failure domain that are ordered before
// it, then the first of each earlier domain. A VM that is no candidate may follow all candidates of its domain, and none of
// another one. All VMs use the same orders, so VMs never follow each other in a cycle, whichever of them are avoided.
func eligibleUpstreams(self feed.Member, all []feed.Member, avoided func(name string) bool) (out []feed.Member) {
	for _, m := range sortByPreference(inDomain(self.Domain, all)) {
		if m.Name == self.Name {
			return append(out, firstOfEarlierDomains(self, all, avoided)...)
		}
		if !avoided(m.Name) {
			out = append(out, m)
		}
	}
	return out
}

// firstOfEarlierDomains returns the first VM that is not avoided of each failure domain that is ordered before this VM's.
func firstOfEarlierDomains(self feed.Member, all []feed.Member, avoided func(name string) bool) (out []feed.Member) {
	var domains []string
	for _, m := range all {
		if compareNames(m.Domain, self.Domain) < 0 && !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	slices.SortFunc(domains, compareNames)
	for _, d := range domains {
		members := sortByPreference(inDomain(d, all))
		if i := slices.IndexFunc(members, func(m feed.Member) bool { return !avoided(m.Name) }); i >= 0 {
			out = append(out, members[i])
		}
	}
	return out
}

// candidateRank returns the index of a VM in the order of its failure domain, and reports whether it is a candidate at all.
func candidateRank(self feed.Member, all []feed.Member) (int, bool) {
	i := slices.IndexFunc(sortByPreference(inDomain(self.Domain, all)), func(m feed.Member) bool { return m.Name == self.Name })
	return i, i >= 0
}

func inDomain(domain string, all []feed.Member) (out []feed.Member) {
	for _, m := range all {
		if m.Domain == domain {
			out = append(out, m)
		}
	}
	return out
}

// sortByPreference sorts the VMs of a domain in place: those with the most processor time first, since the first one answers all
// others, then by a hash of their names.
func sortByPreference(members []feed.Member) []feed.Member {
	slices.SortFunc(members, func(a, b feed.Member) int {
		return cmp.Or(cmp.Compare(b.CPU, a.CPU), compareNames(a.Name, b.Name))
	})
	return members
}

// compareNames orders names by their hash.
func compareNames(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

package follow

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

// How long a VM that did not answer is avoided: the first time, and at most.
const (
	avoidFirst = 3 * clock.Second
	avoidMost  = 15 * clock.Second
)

// choose returns the VM to ask: the first of the failure domain that is not avoided, or false if that is this VM
// itself. All VMs of a domain have the same order.
func choose(self feed.Member, all []feed.Member, avoided func(name string) bool) (feed.Member, bool) {
	in := inDomain(self.Domain, all)
	in = slices.DeleteFunc(in, func(m feed.Member) bool { return m.Name == self.Name })
	for _, m := range order(append(in, self)) {
		if m.Name == self.Name {
			return feed.Member{}, false
		}
		if !avoided(m.Name) {
			return m, true
		}
	}
	return feed.Member{}, false
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

// order sorts the VMs of a domain by a hash of their names.
func order(in []feed.Member) []feed.Member {
	slices.SortFunc(in, func(a, b feed.Member) int {
		x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return in
}

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
	var in []feed.Member
	for _, m := range all {
		if m.Domain == self.Domain && m.Name != self.Name {
			in = append(in, m)
		}
	}
	in = append(in, self)
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
	for _, m := range in {
		if m.Name == self.Name {
			return feed.Member{}, false
		}
		if !avoided(m.Name) {
			return m, true
		}
	}
	return feed.Member{}, false
}

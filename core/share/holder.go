package share

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// silence is how long an ask may be without an answer. An answer takes a round trip of 3 ms; lost ones are repeated by the
// next ask.
const (
	silence = 100 * clock.Millisecond
	overdue = 10 * clock.Millisecond
)

// Holder is the slots that one entry VM may use.
type Holder struct {
	VM string

	owner string
	seq   uint64
	slots map[string]int
	until clock.Time
	hold  work.Rank
	keep  [work.Ranks]int
	open  clock.Time // when the first ask without an answer was sent, 0 for none
	num   uint64
	asked [16]clock.Time // when the latest asks were sent, by number
}

// Grant takes in a grant. One of another owner than the one asked last, an older one and a late one are ignored. The
// validity counts from the ask that the owner had, so that the holder's grant never outlasts the owner's account of it.
func (h *Holder) Grant(now clock.Time, g Grant) bool {
	if g.VM != h.VM || g.Owner != h.owner || g.Seq <= h.seq || g.Num > h.num || g.Num+uint64(len(h.asked)) <= h.num {
		return false
	}
	until := h.asked[g.Num%uint64(len(h.asked))].Add(g.Span)
	if now >= until {
		return false
	}
	h.seq, h.slots, h.until, h.hold, h.keep = g.Seq, g.Slots, until, g.Hold, g.Keep
	if g.Num == h.num {
		h.open = 0
	}
	return true
}

// Ask completes a report to the present owner.
func (h *Holder) Ask(now clock.Time, owner string, a Ask) Ask {
	if owner != h.owner {
		h.owner, h.seq = owner, 0
	}
	h.num++
	h.asked[h.num%uint64(len(h.asked))] = now
	if h.open == 0 {
		h.open = now
	}
	a.VM, a.Owner, a.Seq, a.Num, a.Slots = h.VM, owner, h.seq, h.num, nil
	if now < h.until {
		a.Slots = maps.Clone(h.slots)
	}
	return a
}

// Silent reports whether the owner leaves asks unanswered. The holder then keeps its slots and serves all ranks: a hold
// without an owner who hands the slots out would only leave them idle.
func (h *Holder) Silent(now clock.Time) bool { return h.open != 0 && now.Sub(h.open) > silence }

// Repeat reports whether an ask should be repeated before the next regular one, because its answer is overdue.
func (h *Holder) Repeat(now clock.Time) bool { return h.open != 0 && now.Sub(h.open) > overdue }

// Hold returns the hold in force and the running requests of each rank that it leaves, as for queue.Queue.
func (h *Holder) Hold(now clock.Time) (work.Rank, [work.Ranks]int) {
	if h.Silent(now) || now >= h.until {
		return 0, [work.Ranks]int{}
	}
	return h.hold, h.keep
}

// Give gives the slots of a server back that are not in use. The next ask tells the owner, and has to follow at once.
func (h *Holder) Give(server string, running int) {
	if h.slots[server] > running {
		h.slots = maps.Clone(h.slots)
		h.slots[server] = running
	}
}

// Slots returns how many requests may run at a server with the given slots, of which this VM is one of members.
func (h *Holder) Slots(now clock.Time, server string, slots, members int) int {
	switch equal := Fallback(slots, members); {
	case now < h.until:
		return h.slots[server]
	case h.slots != nil && now < h.until.Add(Expiry/2):
		// The owner may still count on the expired grant, so not more than that.
		return min(h.slots[server], equal)
	default:
		return equal
	}
}

// Fallback returns the slots that a VM takes at a server without a grant: its equal part rounded down, so that all VMs
// together stay within the slots.
func Fallback(slots, members int) int { return slots / max(members, 1) }

// Rendezvous returns the owner of a pool among the members, the same on every VM with the same view.
func Rendezvous(pool string, members []string) string {
	best, top := "", uint64(0)
	for _, m := range members {
		if n := xxhash.Sum64String(pool + "\x00" + m); best == "" || n > top || n == top && m < best {
			best, top = m, n
		}
	}
	return best
}

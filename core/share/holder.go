package share

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// answerTimeout is the time without an answer after which the owner is treated as unresponsive, and repeatAfter the time after
// which a report is repeated early. An answer takes a round trip of 3 ms. A lost one is replaced by the answer to the next
// report.
const (
	answerTimeout = 100 * clock.Millisecond
	repeatAfter   = 10 * clock.Millisecond
)

// Holder keeps the slots that are granted to one entry VM.
type Holder struct {
	VM string

	owner           string
	seq             uint64
	slots           map[string]int
	validUntil      clock.Time
	holdFrom        work.Rank
	holdLimit       [work.Ranks]int
	unansweredSince clock.Time // when the first unanswered report was sent, 0 for none
	num             uint64
	sentAt          [16]clock.Time // when the latest reports were sent, by number
}

// Grant applies a grant and reports whether it was accepted. A grant of an owner other than the one of the last report, an
// outdated grant and an expired one are ignored. The validity starts when the holder sent the report that the grant answers, so
// that the holder never uses a grant longer than the owner keeps it.
func (h *Holder) Grant(now clock.Time, g Grant) bool {
	if g.VM != h.VM || g.Owner != h.owner || g.Seq <= h.seq || g.Num > h.num || g.Num+uint64(len(h.sentAt)) <= h.num {
		return false
	}
	validUntil := h.sentAt[g.Num%uint64(len(h.sentAt))].Add(g.Span)
	if now >= validUntil {
		return false
	}
	h.seq, h.slots, h.validUntil, h.holdFrom, h.holdLimit = g.Seq, g.Slots, validUntil, g.HoldFrom, g.HoldLimit
	if g.Num == h.num {
		h.unansweredSince = 0
	}
	return true
}

// accept applies the answer to the last report. The owner that answered is the holder's owner from then on.
func (h *Holder) accept(now clock.Time, g Grant) bool {
	if g.Num != h.num {
		return false // the answer to an earlier report, which the owner does not expect to be used any more
	}
	if g.Owner != h.owner {
		h.owner, h.seq = g.Owner, 0
	}
	return h.Grant(now, g)
}

// Report fills in the holder's fields of a report to the current owner.
func (h *Holder) Report(now clock.Time, owner string, r Report) Report {
	if owner != h.owner {
		h.owner, h.seq = owner, 0
	}
	h.num++
	h.sentAt[h.num%uint64(len(h.sentAt))] = now
	if h.unansweredSince == 0 {
		h.unansweredSince = now
	}
	r.VM, r.Owner, r.Seq, r.Num, r.Slots = h.VM, owner, h.seq, h.num, nil
	if now < h.validUntil {
		r.Slots = maps.Clone(h.slots)
	}
	return r
}

// OwnerUnresponsive reports whether the owner does not answer reports. The holder then keeps its slots and serves all ranks:
// during a hold without an owner that grants the freed slots to others, they would only be idle.
func (h *Holder) OwnerUnresponsive(now clock.Time) bool {
	return h.unansweredSince != 0 && now.Sub(h.unansweredSince) > answerTimeout
}

// NeedsRepeat reports whether a report should be repeated before the next regular one because its answer is overdue.
func (h *Holder) NeedsRepeat(now clock.Time) bool {
	return h.unansweredSince != 0 && now.Sub(h.unansweredSince) > repeatAfter
}

// Hold returns the values for HoldFrom and HoldLimit of queue.Queue. The rank is 0 without a hold.
func (h *Holder) Hold(now clock.Time) (work.Rank, [work.Ranks]int) {
	if h.OwnerUnresponsive(now) || now >= h.validUntil {
		return 0, [work.Ranks]int{}
	}
	return h.holdFrom, h.holdLimit
}

// GiveBack gives back the slots of a server that are not in use. The owner learns it from the next report, which the caller has
// to send immediately.
func (h *Holder) GiveBack(server string, running int) {
	if h.slots[server] > running {
		h.slots = maps.Clone(h.slots)
		h.slots[server] = running
	}
}

// Slots returns how many requests this VM may run at a server with the given slots. Members is the number of entry VMs that use
// it.
func (h *Holder) Slots(now clock.Time, server string, slots, members int) int {
	switch equal := FallbackSlots(slots, members); {
	case now < h.validUntil:
		return h.slots[server]
	case h.slots != nil && now < h.validUntil.Add(GrantValidity/2):
		// The owner may still treat the expired grant as valid, so the holder uses no more slots than that.
		return min(h.slots[server], equal)
	default:
		return equal
	}
}

// FallbackSlots returns the slots that a VM uses at a server without a grant: its equal part rounded down, so that all VMs
// together stay within the slots.
func FallbackSlots(slots, members int) int { return slots / max(members, 1) }

// RendezvousOwner returns the owner of a pool among the members by a rendezvous hash. VMs with the same members get the same
// owner, in whatever order they are given.
func RendezvousOwner(pool string, members []string) string {
	best, top := "", uint64(0)
	for _, m := range members {
		if n := xxhash.Sum64String(pool + "\x00" + m); best == "" || n > top || n == top && m < best {
			best, top = m, n
		}
	}
	return best
}

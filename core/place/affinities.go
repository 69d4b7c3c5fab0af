package place

import (
	"container/list"

	"shallotrun/core/clock"
)

// hotUses is the number of gaps between uses that are averaged before a key can be hot.
const hotUses = 3

// affinities is an LRU table of the server to which each session or prefix was sent last.
type affinities struct {
	limit   int // number of entries
	entries map[uint64]*list.Element
	order   list.List // most recently used first
}

type affinityEntry struct {
	key    uint64
	server string
	usedAt clock.Time
	gap    average // mean milliseconds between uses
}

func (h *affinities) get(k uint64) (affinityEntry, bool) {
	e := h.entries[k]
	if e == nil {
		return affinityEntry{}, false
	}
	return e.Value.(affinityEntry), true
}

// isHot reports whether the mean gap between uses of a key is less than gap and the last use is less than two gaps ago.
func (h *affinities) isHot(k uint64, now clock.Time, gap clock.Span) bool {
	v, ok := h.get(k)
	return ok && v.gap.count >= hotUses && v.gap.value < float64(gap) && now.Sub(v.usedAt) < 2*gap
}

// put records that a key was sent to a server, and drops the least recently used entry if the table is full.
func (h *affinities) put(k uint64, server string, now clock.Time) {
	if h.entries == nil {
		h.entries = make(map[uint64]*list.Element)
	}
	v := affinityEntry{key: k, server: server, usedAt: now}
	if e := h.entries[k]; e != nil {
		old := e.Value.(affinityEntry)
		v.gap = old.gap
		v.gap.add(float64(now.Sub(old.usedAt)))
		e.Value = v
		h.order.MoveToFront(e)
		return
	}
	h.entries[k] = h.order.PushFront(v)
	if len(h.entries) > h.limit {
		last := h.order.Back()
		h.order.Remove(last)
		delete(h.entries, last.Value.(affinityEntry).key)
	}
}

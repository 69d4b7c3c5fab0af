package place

import (
	"container/list"

	"shallotrun/core/clock"
)

// A key is hot after this many uses with a short gap.
const hotUses = 3

// homes remembers which server got a session or prefix last. It holds a bounded number, oldest use dropped first.
type homes struct {
	limit int
	all   map[uint64]*list.Element
	order list.List // most recent first
}

type home struct {
	key    uint64
	server string
	at     clock.Time
	gap    average // milliseconds between uses
}

func (h *homes) get(k uint64) (home, bool) {
	e := h.all[k]
	if e == nil {
		return home{}, false
	}
	return e.Value.(home), true
}

// hot reports whether a key is used with less than the given gap on average.
func (h *homes) hot(k uint64, now clock.Time, gap clock.Span) bool {
	v, ok := h.get(k)
	return ok && v.gap.count >= hotUses && v.gap.value < float64(gap) && now.Sub(v.at) < 2*gap
}

func (h *homes) put(k uint64, server string, now clock.Time) {
	if h.all == nil {
		h.all = make(map[uint64]*list.Element)
	}
	v := home{key: k, server: server, at: now}
	if e := h.all[k]; e != nil {
		old := e.Value.(home)
		v.gap = old.gap
		v.gap.add(float64(now.Sub(old.at)))
		e.Value = v
		h.order.MoveToFront(e)
		return
	}
	h.all[k] = h.order.PushFront(v)
	if len(h.all) > h.limit {
		last := h.order.Back()
		h.order.Remove(last)
		delete(h.all, last.Value.(home).key)
	}
}

package place

import (
	"container/list"

	"shallotrun/core/clock"
)

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
}

func (h *homes) get(k uint64) (home, bool) {
	e := h.all[k]
	if e == nil {
		return home{}, false
	}
	return e.Value.(home), true
}

func (h *homes) put(k uint64, server string, now clock.Time) {
	if h.all == nil {
		h.all = make(map[uint64]*list.Element)
	}
	v := home{key: k, server: server, at: now}
	if e := h.all[k]; e != nil {
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

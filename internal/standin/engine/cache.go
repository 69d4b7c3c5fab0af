package engine

import (
	"container/list"
	"strconv"

	"shallotrun/core/clock"
)

// Event is a change of the prefix cache. Sequence numbers are assigned without gaps, so a gap means that an event was lost.
type Event struct {
	Seq     uint64     `json:"seq"`
	At      clock.Time `json:"at"`
	Action  string     `json:"action"` // stored or evicted
	Block   string     `json:"block"`  // chained hash of the prefix, hex
	Request string     `json:"request,omitempty"`
	Session string     `json:"session,omitempty"`
}

// cache is a prefix cache of limited capacity with least recently used eviction.
type cache struct {
	capacity int
	order    list.List // most recent first
	blocks   map[uint64]*list.Element
	seq      uint64
	events   []Event // in order; At is when the event becomes visible
}

// cachedTokens returns how many leading prompt tokens are cached, and marks their blocks as recently used.
func (c *cache) cachedTokens(bs []uint64) int {
	n := 0
	for _, b := range bs {
		e, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n += blockWords
	}
	return n
}

// add stores the blocks of a prompt and records the events with the time at which they become visible. dropped decides for each
// event whether it is lost.
func (c *cache) add(bs []uint64, request, session string, visible clock.Time, dropped func() bool) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	record := func(ev Event) {
		c.seq++
		if ev.Seq, ev.At = c.seq, visible; !dropped() {
			c.events = append(c.events, ev)
		}
	}
	for _, b := range bs {
		if _, ok := c.blocks[b]; ok {
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		record(Event{Action: "stored", Block: hex(b), Request: request, Session: session})
		for c.order.Len() > c.capacity {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			record(Event{Action: "evicted", Block: hex(old)})
		}
	}
	const kept = 10000
	if n := len(c.events); n > 2*kept {
		c.events = append([]Event(nil), c.events[n-kept:]...)
	}
}

// since returns the events after a sequence number that are visible at the time now.
func (c *cache) since(seq uint64, now clock.Time) []Event {
	evs := []Event{}
	for _, e := range c.events {
		if e.Seq > seq && !now.Before(e.At) {
			evs = append(evs, e)
		}
	}
	return evs
}

func hex(b uint64) string { return strconv.FormatUint(b, 16) }

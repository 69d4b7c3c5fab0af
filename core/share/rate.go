package share

import (
	"math"

	"shallotrun/core/clock"
)

const (
	// minRate is the least limit, in requests a second. A lower one is treated as this one, since only an answer to a request
	// shows that a limit has ended.
	minRate = 0.1
	// spareSlots are the slots beyond the requests of one second, so that several VMs have one also if the limit is low. A server
	// that names a limit has to bear five requests at once.
	spareSlots = 3
	// maxRateSlots bounds the slots of a limit.
	maxRateSlots = 32
)

// RateSlots returns a limit on the rate of requests as slots: a request takes one for hold from its start, however long it runs.
// So in any time a server gets at most as many requests as its rate allows and one more for each slot, however the slots move
// between VMs.
//
// Extra slots are held for longer, so that the rate stays the same. They make up for the time in which slots move between VMs, at a
// server that bears so many more requests at once.
func RateSlots(rate float64, extra int) (slots int, hold clock.Span) {
	rate = max(rate, minRate)
	slots = min(int(math.Ceil(rate))+spareSlots+extra, maxRateSlots)
	return slots, clock.Span(math.Ceil(float64(slots) / rate * float64(clock.Second)))
}

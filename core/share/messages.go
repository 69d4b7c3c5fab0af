package share

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Expiry is how long a grant holds. Asks are sent at least every AskGap, so that single lost messages do not matter.
const (
	Expiry = 2 * clock.Second
	AskGap = 250 * clock.Millisecond
)

// Ask reports a holder's demand to the owner. Its lack of an answer is no error: the next ask replaces it.
type Ask struct {
	VM      string          `cbor:"vm"` // with its incarnation, since Num starts again after a restart
	Owner   string          `cbor:"owner"`
	Num     uint64          `cbor:"num"`     // counts the asks of this holder
	Seq     uint64          `cbor:"seq"`     // of the last grant of this owner that the holder has in force
	Running map[string]int  `cbor:"running"` // requests at each server
	Slots   map[string]int  `cbor:"slots"`   // granted slots in force at each server
	Active  [work.Ranks]int `cbor:"active"`  // running requests of each rank
	Waiting [work.Ranks]int `cbor:"waiting"` // waiting requests of each rank
}

// Grant is what a holder may have at each server, in place of all earlier grants.
type Grant struct {
	VM    string         `cbor:"vm"`
	Owner string         `cbor:"owner"`
	Seq   uint64         `cbor:"seq"`
	Num   uint64         `cbor:"num"` // of the latest ask that the owner has from the holder
	Slots map[string]int `cbor:"slots"`
	// Hold, when not 0, says that work more urgent than Hold waits somewhere: the holder then starts no work that is
	// less urgent or equal beyond Keep running requests of each rank, and gives a slot that becomes free back.
	Hold work.Rank       `cbor:"hold"`
	Keep [work.Ranks]int `cbor:"keep"`
	Span clock.Span      `cbor:"span"` // validity, counted by the holder from when it sent that ask
}

package share

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// GrantValidity is the validity of a grant. Reports are sent at least every ReportInterval, so that single lost messages do no
// harm.
const (
	GrantValidity  = 2 * clock.Second
	ReportInterval = 250 * clock.Millisecond
)

// Report is a holder's report of its demand to the owner. A missing answer is no error: the next report replaces this one.
type Report struct {
	VM      string          `cbor:"vm"` // name with the incarnation, since Num restarts with the process
	Owner   string          `cbor:"owner"`
	Num     uint64          `cbor:"num"`     // sequence number of this holder's reports
	Seq     uint64          `cbor:"seq"`     // Seq of the last grant of this owner that the holder applied
	Running map[string]int  `cbor:"running"` // requests at each server
	Slots   map[string]int  `cbor:"slots"`   // valid granted slots at each server
	Active  [work.Ranks]int `cbor:"active"`  // running requests of each rank
	Waiting [work.Ranks]int `cbor:"waiting"` // waiting requests of each rank
}

// Grant is the slots that a holder may use at each server. It replaces all earlier grants.
type Grant struct {
	VM    string         `cbor:"vm"`
	Owner string         `cbor:"owner"`
	Seq   uint64         `cbor:"seq"`
	Num   uint64         `cbor:"num"` // Num of the latest report that the owner has from the holder
	Slots map[string]int `cbor:"slots"`
	// HoldFrom, if not 0, means that work more urgent than HoldFrom waits on some VM: the holder then starts a request of
	// HoldFrom or a less urgent rank only while fewer than HoldLimit requests of that rank are running, and gives back each
	// slot that becomes free.
	HoldFrom  work.Rank       `cbor:"hold"`
	HoldLimit [work.Ranks]int `cbor:"keep"`
	Span      clock.Span      `cbor:"span"` // validity, from the time at which the holder sent that report
}

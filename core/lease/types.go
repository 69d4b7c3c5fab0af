package lease

import "shallotrun/core/clock"

// Times are the readings of one VM's clocks at one moment.
type Times struct {
	Now  clock.Time // monotonic; may stand still while the VM is suspended
	Wall clock.Time // may be set forward or back
}

// Rules are the time limits of a lease.
type Rules struct {
	Length        clock.Span // from a write of the holder until another VM may take the lease
	RenewInterval clock.Span // interval of the holder's writes
	Margin        clock.Span // the holder sends no orders for this long before the end
	TakeoverWait  clock.Span // wait after a takeover before orders to engines that ignore fencing tokens
	PollInterval  clock.Span // interval of the reads by a VM that waits for the lease
}

// DefaultRules has the limits of section 5.7 of the design page. TakeoverWait is longer than the longest order (4 s).
var DefaultRules = Rules{
	Length:        10 * clock.Second,
	RenewInterval: 3 * clock.Second,
	Margin:        3 * clock.Second,
	TakeoverWait:  5 * clock.Second,
	PollInterval:  1 * clock.Second,
}

// Value is the value of the lease object.
type Value struct {
	Holder      string `json:"holder"` // "" if the lease was given back
	Incarnation uint64 `json:"incarnation"`
	Fence       uint64 `json:"fence"` // fencing token
}

// Event is an input from the driver to a machine.
type Event interface{ event() }

// Tick only reports the time.
type Tick struct{}

// Candidate sets whether this VM should take the lease when it is free. Membership selects the candidate; several at once
// are safe.
type Candidate struct{ On bool }

// Release gives the lease back for a planned stop.
type Release struct{}

// GetResult is the result of a Get.
type GetResult struct {
	Found   bool
	Version uint64
	Value   Value
}

// Stored is the result of a Put that took effect.
type Stored struct{ Version uint64 }

// PutConflict is the result of a Put whose condition did not hold.
type PutConflict struct{}

// NoResponse is the result of a Get or Put without a response. The Put may have taken effect.
type NoResponse struct{}

func (Tick) event()        {}
func (Candidate) event()   {}
func (Release) event()     {}
func (GetResult) event()   {}
func (Stored) event()      {}
func (PutConflict) event() {}
func (NoResponse) event()  {}

// Command is an action that a machine requests from its driver, which answers each one by exactly one event.
type Command interface{ command() }

// Get reads the lease object.
type Get struct{}

// Put writes the lease object if its version is Version, or, if Version is 0, if the object does not exist.
type Put struct {
	Version uint64
	Value   Value
}

func (Get) command() {}
func (Put) command() {}

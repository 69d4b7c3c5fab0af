package lease

import "shallotrun/core/clock"

// Times are the clocks of one VM at one moment.
type Times struct {
	Now  clock.Time // monotonic; may stand still while the VM is suspended
	Wall clock.Time // may step
}

// Rules are the lengths of a lease.
type Rules struct {
	Length clock.Span // from a write until another VM may take the lease
	Renew  clock.Span // between two writes of the holder
	Margin clock.Span // the holder stops this long before the end
	Settle clock.Span // wait after a takeover before orders to engines that ignore fencing numbers
	Poll   clock.Span // between two reads of a VM that waits for the lease
}

// Default are the rules of the design page, section 5.7. Settle is longer than the longest order (4 s).
var Default = Rules{
	Length: 10 * clock.Second,
	Renew:  3 * clock.Second,
	Margin: 3 * clock.Second,
	Settle: 5 * clock.Second,
	Poll:   1 * clock.Second,
}

// Value is the value of the lease object. An empty holder means that the lease was given back.
type Value struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fence       uint64 `json:"fence"`
}

// Event is what a machine is told.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Candidate says whether this VM should take the lease when it is free. Membership decides; two candidates
// at once are safe.
type Candidate struct{ On bool }

// Leave gives the lease back, at a planned stop.
type Leave struct{}

// Seen is the result of a Get.
type Seen struct {
	Found   bool
	Version uint64
	Value   Value
}

// Stored is the result of a Put that took effect.
type Stored struct{ Version uint64 }

// Refused is the result of a Put whose condition did not hold.
type Refused struct{}

// Failed is the result of a Get without a response, or of a Put that may have taken effect.
type Failed struct{}

func (Tick) event()      {}
func (Candidate) event() {}
func (Leave) event()     {}
func (Seen) event()      {}
func (Stored) event()    {}
func (Refused) event()   {}
func (Failed) event()    {}

// Command is what a machine wants done. Each is answered by exactly one event.
type Command interface{ command() }

// Get reads the lease object.
type Get struct{}

// Put stores the lease object if it has this version, or if it does not exist where Version is 0.
type Put struct {
	Version uint64
	Value   Value
}

func (Get) command() {}
func (Put) command() {}

package canary

import "shallotrun/core/clock"

// States of an order, as the store holds them.
const (
	New        State = iota // nothing is written yet
	Running                 // requests are being moved
	Done                    // only the new version gets requests
	RolledBack              // the new version gets nothing
)

// State is the state of an order.
type State uint8

// Order asks to move a service's requests to a version.
type Order struct {
	Service  string
	Target   string     // version
	Duration clock.Span // within which the order is to be finished
	State    State
	Started  clock.Time // wall clock at which the first VM saw the order, 0 if unknown
	Rev      uint64     // of the object in the store, for conditional writes
	Made     uint64     // revision at which the order was given
}

// Result is what one request to a backend server showed.
type Result struct {
	Route   string
	Model   string // that answered, "" for none: models differ in speed
	Version string
	Started bool       // only the time to the first answer is known yet
	Failed  bool       // the server failed, not the caller and not the connection
	First   clock.Span // time to the answer or the first event
	Pace    float64    // milliseconds between events, 0 for an answer that is no stream
}

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Done:
		return "done"
	case RolledBack:
		return "rolled back"
	default:
		return "new"
	}
}

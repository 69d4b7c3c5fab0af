package canary

import "shallotrun/core/clock"

// States of an order. The store keeps them by their text.
const (
	New        State = iota // no state is written to the store yet
	Running                 // requests are being moved
	Done                    // all requests go to the new version
	RolledBack              // no requests go to the new version
)

// State is the state of an order.
type State uint8

// Order is an operator's order to move a service's requests to a version.
type Order struct {
	Service        string
	Target         string     // the new version
	Duration       clock.Span // within which the order is to be finished
	State          State
	Started        clock.Time // wall-clock time at which the first VM saw the order, 0 if unknown
	Rev            uint64     // revision of the object in the store, for conditional updates
	CreateRevision uint64     `cbor:"Made"` // revision of the store at which the order was created
	Era            uint64     // of both revisions, 0 if it is not known
}

// Result is the result of one request to a backend server.
type Result struct {
	Route   string
	Model   string // the model that answered, "" if there is none; models differ in speed
	Version string
	Partial bool       // only the time to the first answer is known yet
	Failed  bool       // the server failed, as opposed to the caller or the connection
	First   clock.Span // time to the answer or the first event
	Pace    float64    // milliseconds between events, 0 for an answer that is not a stream
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

package verdict

import (
	"encoding/json"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/internal/load"
	"shallotrun/internal/standin/ledger"
	"shallotrun/internal/standin/platform"
)

// Evidence is everything that a run left.
type Evidence struct {
	Records   []load.Record
	Engines   []ledger.Entry
	Services  []ledger.Entry
	Bills     []Bill
	Allowed   func(workspace, model, version string) bool `json:"-"`
	Withdrawn []Withdrawal
	Reroutes  []Reroute
	Stops     []Stop
	Leaves    []Leave
	Lost      []Lost
}

// Bill is a bill with the object that holds it.
type Bill struct {
	Object string
	work.Bill
}

// Withdrawal is the withdrawal of a version, with the time from which it must be in force everywhere.
type Withdrawal struct {
	Model, Version string
	At             clock.Time
}

// Stop is a planned stop of an entry VM.
type Stop struct {
	Name   string
	Target string     // address for callers
	From   clock.Time // SIGTERM
	Code   int        // exit code, -1 if it did not end
}

// Leave is a backend server that leaves, with the time from which it must receive nothing new.
type Leave struct {
	Name string
	At   clock.Time
}

// Reroute is a change of a route's model, with the time from which it must be in force everywhere.
type Reroute struct {
	Route, Model string
	At           clock.Time
}

// Lost is an entry VM that ended together with a VM that may have held the copies of its bills. Bills of
// its last requests may be missing: the design gives this up.
type Lost struct {
	Target   string
	From, To clock.Time
}

// Bills reads the bills out of the platform's objects. Every JSON object with a request and stages is a
// bill, however the batch wraps it.
func Bills(objects []platform.Object) []Bill {
	var bills []Bill
	for _, o := range objects {
		var v any
		if json.Unmarshal(o.Value, &v) == nil {
			collect(o.Name, v, &bills)
		}
	}
	return bills
}

func collect(object string, v any, bills *[]Bill) {
	switch v := v.(type) {
	case []any:
		for _, x := range v {
			collect(object, x, bills)
		}
	case map[string]any:
		if _, ok := v["stages"]; ok && v["request"] != nil {
			b := Bill{Object: object}
			raw, _ := json.Marshal(v)
			if json.Unmarshal(raw, &b.Bill) == nil {
				*bills = append(*bills, b)
			}
			return
		}
		for _, x := range v {
			collect(object, x, bills)
		}
	}
}

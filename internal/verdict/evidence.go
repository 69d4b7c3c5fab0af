package verdict

import (
	"encoding/json"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/internal/load"
	"shallotrun/internal/standin/ledger"
	"shallotrun/internal/standin/platform"
)

// Evidence holds all records of a test run, and the changes during it with the times from which they must be in force.
type Evidence struct {
	Records        []load.Record
	Engines        []ledger.Entry
	Services       []ledger.Entry
	Bills          []Bill
	Allowed        func(workspace, model, version string) bool `json:"-"`
	Withdrawn      []Withdrawal
	Reroutes       []Reroute
	Stops          []Stop
	Leaves         []Leave
	DoubleFailures []DoubleFailure `json:"Lost"`
}

// Bill is a bill with the name of the object that contains it.
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
	From   clock.Time // time of SIGTERM
	Code   int        // exit code, -1 if it did not end
}

// Leave is a backend server that drains, with the time from which it must receive no new requests.
type Leave struct {
	Name string
	At   clock.Time
}

// Reroute is a change of a route's model, with the time from which it must be in force everywhere.
type Reroute struct {
	Route, Model string
	At           clock.Time
}

// DoubleFailure is an entry VM that failed together with a VM that may have held the replicas of its bills. Bills of requests
// that ended between From and To may be missing: the design does not cover this double failure.
type DoubleFailure struct {
	Target   string
	From, To clock.Time
}

// Bills returns the bills in the objects of the platform's store. Every JSON object with a request and stages is a bill, at any
// depth, so that the format of a batch does not matter.
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

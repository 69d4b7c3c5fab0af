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
	Allowed   func(workspace, model, version string) bool
	Withdrawn []Withdrawal
	Stops     []Stop
	Leaves    []Leave
	Gone      []Gone // bills may be missing only if an entry VM and its copy holder were lost together
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

// Gone is an entry VM that was killed.
type Gone struct {
	Target string
	At     clock.Time
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

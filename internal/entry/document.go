package entry

import (
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/route"
	"shallotrun/core/work"
)

// compiledDocument is a snapshot of the document with the routing table compiled from it.
type compiledDocument struct {
	snapshot *document.Snapshot
	table    *route.Table
}

// table returns the routing table of the document in force, or nil before the first document.
func (d *Daemon) table() *route.Table {
	s := d.Documents.Current()
	if s == nil {
		return nil
	}
	if v := d.compiled.Load(); v != nil && v.snapshot == s {
		return v.table
	}
	v := &compiledDocument{snapshot: s, table: route.Compile(s.Document)}
	d.compiled.Store(v)
	return v.table
}

// freshTimeout is how long a dispatch waits for a current document after the process was paused.
const freshTimeout = 3 * clock.Second

// waitFresh waits until new work may be dispatched by the document in force, and returns a refusal after freshTimeout.
func (d *Daemon) waitFresh() *work.Refusal {
	until := d.Clock.Now().Add(freshTimeout)
	for !d.Documents.Fresh() {
		if !d.Clock.Now().Before(until) {
			return retryLater(refuse(work.CodeNoDocument, 503, "the configuration may be out of date"))
		}
		time.Sleep((5 * clock.Millisecond).Std())
	}
	return nil
}

// conditions returns the conditions, apart from the document, that decide whether a version may get new work.
func (d *Daemon) conditions() route.Conditions {
	return route.Conditions{Halted: d.Documents.Halted, Staleness: d.Documents.Staleness()}
}

// refuse returns a refusal of a request that was not sent to any backend server.
func refuse(code string, status int, detail string) *work.Refusal {
	return &work.Refusal{Code: code, Status: status, Ran: work.NotRun, Detail: detail}
}

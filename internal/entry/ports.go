package entry

import (
	"context"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/work"
)

// Documents provides the configuration in force.
type Documents interface {
	// Current returns the snapshot in force, or nil before the first one. The snapshot must not be modified.
	Current() *document.Snapshot
	// Fresh reports whether new work may be dispatched. It is false before the first document, and after a pause of the
	// process until the current revision is confirmed.
	Fresh() bool
	// Staleness returns the time since the last answer of the platform's store.
	Staleness() clock.Span
	// Halted reports whether the version is halted because of the results of its attempts.
	Halted(model, version string) bool
}

// Servers provides the backend servers.
type Servers interface {
	// Servers returns the backend servers of a pool, including leaving ones. The slice must not be modified.
	Servers(pool string) []work.VM
	// MarkLeaving records that a backend server refused work because it is leaving.
	MarkLeaving(name string)
	// RecordLoad records a load report of a backend server. One that was taken later than a refusal ends what the refusal said.
	RecordLoad(name string, l work.Load)
}

// Bills saves bills, with a replica on another entry VM.
type Bills interface {
	// SelectHolder selects the VM that holds the replica of the bill of a request that starts now, or "" if no other VM is
	// reachable.
	SelectHolder(request string) string
	// Save records the bill, and returns after the holder acknowledged its replica or the replication timed out. It returns
	// bill.ErrTakenOver if another entry VM took over the request: the caller of Save then drops the bill and ends the stream.
	Save(ctx context.Context, b work.Bill, holder string) error
	// TakeOver marks a request that started on another entry VM as taken over by this one.
	TakeOver(ctx context.Context, request, holder string) error
	// Full reports whether new work has to be refused because too many bills are pending.
	Full() bool
}

// Claims decides which entry VM may run a call with an idempotency key.
type Claims interface {
	// Claim returns nil if this request is the first with the key, and a *work.Refusal otherwise.
	Claim(ctx context.Context, workspace, key, request string) error
}

// Evidence collects the results of attempts for placement and rollouts.
type Evidence interface {
	Report(r work.Result)
}

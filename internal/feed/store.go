package feed

import (
	"context"
	"errors"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// Kinds of objects in the store.
const (
	Configs Kind = iota
	Servers
	Orders
	Members
	Evacuations
	kinds
)

// Errors of a Store, besides those of the connection.
var (
	// ErrHistoryDropped means that the store no longer has the changes since a revision.
	ErrHistoryDropped = errors.New("the store no longer has the changes since this revision")
	// ErrConflict means that a conditional update failed because the object changed since it was read.
	ErrConflict = errors.New("the object changed since it was read")
)

// Kind is a kind of objects. Its values index encoded arrays, so their order is fixed.
type Kind uint8

// Object is an object or its removal. One of the pointers is set, or none if the object was removed or could not be decoded, or is the
// evacuation of the failure domain that it names.
type Object struct {
	Name    string
	Removed bool
	Config  *catalog.Config
	Server  *backend.Server
	Order   *canary.Order
	Member  *Member
}

// Member is the entry of a VM that others may follow.
type Member struct {
	Name   string
	Domain string  // failure domain
	Addr   string  // IP:port at which other VMs connect to it
	CPU    float64 `json:"Power" cbor:"Power"` // number of cores that it may use; VMs with more are preferred
}

// Batch is a list of objects or of changes, up to a revision.
type Batch struct {
	Objects []Object
	Rev     uint64
	Era     uint64 // of the revision, 0 if it is not known
}

// Values of Consistency.
const (
	Latest Consistency = iota // linearizable
	Stale                     // may be seconds old, and costs the store little
)

// Consistency determines how old the objects of a list may be.
type Consistency uint8

// Store is a client of the platform's store. Reads are linearizable, except for a list that may be stale.
type Store interface {
	// List returns all objects of a kind as of the batch's revision.
	List(ctx context.Context, k Kind, c Consistency) (Batch, error)
	// Watch returns the changes after a revision as soon as there are any, or none after wait. It returns ErrHistoryDropped
	// if the store no longer has all of them.
	Watch(ctx context.Context, k Kind, rev uint64, wait clock.Span) (Batch, error)
	// SetOrder writes the state and start time of an order if it has not changed since it was read, and returns ErrConflict
	// otherwise.
	SetOrder(ctx context.Context, o canary.Order) error
	// Join writes the entry of a VM, Leave removes it.
	Join(ctx context.Context, m Member) error
	Leave(ctx context.Context, name string) error
	// Secret returns the secret that the VMs share. The first call of any VM stores its proposal as the secret. The secret changes only
	// when the store comes back from a copy that is older than it, so otherwise a stale one is valid.
	Secret(ctx context.Context, proposal []byte, c Consistency) ([]byte, error)
}

// String returns the name of the kind for log lines.
func (k Kind) String() string {
	switch k {
	case Configs:
		return "configuration"
	case Servers:
		return "backend servers"
	case Orders:
		return "orders"
	case Evacuations:
		return "evacuations"
	default:
		return "members"
	}
}

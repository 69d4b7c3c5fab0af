package feed

import (
	"context"
	"errors"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// Kinds of objects.
const (
	Configs Kind = iota
	Servers
	Orders
	Members
	kinds
)

// Errors of a Store, besides those of the connection.
var (
	// ErrHistory means that the store no longer has the changes since a revision.
	ErrHistory = errors.New("the store dropped this history")
	// ErrConflict means that an object changed since it was read.
	ErrConflict = errors.New("the object changed meanwhile")
)

// Kind is a kind of objects.
type Kind uint8

// Object is an object or its removal. One of the values is set, none if the object could not be read.
type Object struct {
	Name    string
	Removed bool
	Config  *catalog.Config
	Server  *backend.Server
	Order   *canary.Order
	Member  *Member
}

// Member is a VM of this fleet that others may follow.
type Member struct {
	Name   string
	Domain string  // failure domain
	Addr   string  // IP:port for its peers
	Power  float64 // cores that it may use: the VMs with most are followed first
}

// Batch is a list of objects, or of changes, as of a revision.
type Batch struct {
	Objects []Object
	Rev     uint64
}

// Ages of what a list returns.
const (
	Latest Age = iota // linearizable
	Stale             // may be seconds old, and costs the store little
)

// Age says how old the objects of a list may be.
type Age uint8

// Store is the platform's store. Reads are linearizable unless a list may be stale.
type Store interface {
	// List returns all objects of a kind as of the batch's revision.
	List(ctx context.Context, k Kind, age Age) (Batch, error)
	// Watch returns the changes after a revision, none when the wait is over. It fails with ErrHistory.
	Watch(ctx context.Context, k Kind, rev uint64, wait clock.Span) (Batch, error)
	// SetOrder writes the state of an order that was read, and the time of its start. It fails with ErrConflict.
	SetOrder(ctx context.Context, o canary.Order) error
	// Join writes the entry of a VM, Leave removes it.
	Join(ctx context.Context, m Member) error
	Leave(ctx context.Context, name string) error
	// Secret returns the fleet's secret. The first VM that asks creates it from the proposal.
	Secret(ctx context.Context, proposal []byte) ([]byte, error)
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
	default:
		return "members"
	}
}

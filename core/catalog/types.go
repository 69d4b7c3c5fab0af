package catalog

import "shallotrun/core/clock"

// Kinds of routes, by which requests may be repeated.
const (
	Safe      Kind = iota // idempotent; a request may run more than once
	Unsafe                // a request runs at most once
	Streaming             // the answer is a stream of events; a request runs at most once unless the stream can be resumed
)

// Kind is whether a request of a route may be repeated.
type Kind uint8

// Config is one version of the configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name      string
	Host      string // lower case, without a port
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   clock.Span // limit of the time to the complete answer, 0 for none
	Objective clock.Span // target of the time to the first byte or event; a later one lowers the value of the answer
	Gap       clock.Span // target of the longest pause between events, 0 for none; a longer one lowers the value too
	Rank      int        // 0 is the most urgent
	Attempts  int        // number of replicas that one request may be sent to, at least 1
	Public    bool       // requests need no key
	Affine    bool       // requests share prompt prefixes and go to the replica that has them cached
	Resumable bool       // a broken stream may be resumed at another replica
	Models    []string   // models that the router chooses from, smallest first; nil if the caller names the model
	Splits    []Split    // at least one
}

// Split is a service of a route with its weight, which sets its share of the requests.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of replicas.
type Service struct {
	Name   string
	Conns  int     // connections that a replica accepts from all clients together, 0 for no limit
	Engine *Engine // nil for a plain service

	// ColdRate is the number of requests a second that a cold replica takes from all VMs together, 0 for no limit.
	ColdRate float64 `cbor:",omitempty"`
}

// Engine describes the replicas of a service that run models.
type Engine struct {
	Slots  int // concurrent requests of a replica
	Memory int // capacity of a replica's key-value cache in tokens
	Models []Model
}

// Model is a model with its cost per 1,000 generated tokens. Prompt tokens cost a quarter of that.
type Model struct {
	Name string
	Cost float64
}

// Workspace is a caller with its keys.
type Workspace struct {
	Name string
	Keys []string
	Rank int // overrides the rank of the route; NoRank for none
}

// NoRank is the rank of a workspace that does not override the rank of the route.
const NoRank = -1

// Limits bound what a caller may send.
type Limits struct {
	Header int        // bytes
	Body   int        // bytes
	Arrive clock.Span // timeout until the header is complete
	Idle   clock.Span // idle timeout of a connection without a request
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

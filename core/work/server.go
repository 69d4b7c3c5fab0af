package work

import "shallotrun/core/clock"

// Kinds of VM in the platform's list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// States of a VM in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one row of the platform's list of VMs: an entry VM or a backend server.
type VM struct {
	Name   string     `json:"name"`
	Addr   string     `json:"addr"` // IP:port of the serving port
	Peer   string     `json:"peer"` // IP:port of the peers' port, entry VMs only
	Domain string     `json:"domain"`
	Kind   string     `json:"kind"`
	Pool   string     `json:"pool"` // backend pool, backend servers only
	State  string     `json:"state"`
	Since  clock.Time `json:"since"` // when the state was entered, wall clock
}

// Load is a model engine's report about itself. It lags behind the engine's state.
type Load struct {
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Slots   int        `json:"slots"`
	Models  []string   `json:"models"` // loaded, as MODEL@VERSION
	Leaving bool       `json:"leaving"`
	At      clock.Time `json:"at"` // when the engine took the figures, wall clock
}

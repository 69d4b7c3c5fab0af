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

// VM is one entry of the platform's list of VMs: an entry VM or a backend server.
type VM struct {
	Name   string     `json:"name"`
	Addr   string     `json:"addr"` // IP:port at which it serves requests
	Peer   string     `json:"peer"` // IP:port at which it accepts other entry VMs, entry VMs only
	Domain string     `json:"domain"`
	Kind   string     `json:"kind"`
	Pool   string     `json:"pool"` // backend pool, backend servers only
	State  string     `json:"state"`
	Since  clock.Time `json:"since"` // wall-clock time at which it entered the state
}

// Load is the load that a model engine reports. It is older than the engine's present state.
type Load struct {
	Running int        `json:"running"` // requests in progress
	Waiting int        `json:"waiting"` // requests queued at the engine
	Slots   int        `json:"slots"`   // requests that it can run at a time
	Models  []string   `json:"models"`  // loaded versions, as MODEL@VERSION
	Leaving bool       `json:"leaving"`
	At      clock.Time `json:"at"` // wall-clock time at which the engine read the values
}

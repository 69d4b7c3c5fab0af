package operator

import "shallotrun/core/clock"

// Status is what one entry VM says about itself and what it heard of the others. Times are wall clock.
type Status struct {
	VM       string          `json:"vm"`
	Domain   string          `json:"domain"`
	At       clock.Time      `json:"at"`    // when the status was taken
	Since    clock.Time      `json:"since"` // start of the daemon
	Ready    bool            `json:"ready"`
	Reason   string          `json:"reason,omitempty"` // why not ready
	Config   Config          `json:"config"`
	Watching bool            `json:"watching"` // this VM watches the platform for its failure domain
	Silent   clock.Span      `json:"silent"`   // time since the platform last answered this VM
	Refused  *Refused        `json:"refused,omitempty"`
	Halts    []Halt          `json:"halts"`
	Peers    []Peer          `json:"peers"`
	Servers  []BackendServer `json:"servers"`
	Lease    *Lease          `json:"lease,omitempty"`
}

// Config is the document in force on a VM. Revision is 0 before the first document.
type Config struct {
	Revision uint64     `json:"revision"`
	Digest   string     `json:"digest,omitempty"`
	Since    clock.Time `json:"since,omitempty"`
	Author   string     `json:"author,omitempty"`
	Note     string     `json:"note,omitempty"`
}

// Refused is a document that is newer than the one in force and not valid.
type Refused struct {
	Revision uint64     `json:"revision"`
	Reason   string     `json:"reason"`
	At       clock.Time `json:"at"`
}

// Halt is a version that evidence halted.
type Halt struct {
	Model   string     `json:"model"`
	Version string     `json:"version"`
	Reason  string     `json:"reason"`
	At      clock.Time `json:"at"`
}

// Peer is an entry VM as this one heard of it.
type Peer struct {
	VM     string     `json:"vm"`
	Domain string     `json:"domain"`
	State  string     `json:"state"` // as membership has it, StateGone for one that left
	Config Config     `json:"config"`
	Heard  clock.Time `json:"heard"` // last heartbeat
}

// BackendServer is a row of the list of backend servers.
type BackendServer struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// Lease is the lease of the failure domain's controller as this VM knows it.
type Lease struct {
	Holder string     `json:"holder"`
	Fence  uint64     `json:"fence"`
	Until  clock.Time `json:"until"`
}

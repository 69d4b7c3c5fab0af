package operator

import "shallotrun/core/clock"

// Status is the state of one entry VM and what it last received from its peers. Times are wall clock times.
type Status struct {
	VM         string          `json:"vm"`
	Domain     string          `json:"domain"`
	At         clock.Time      `json:"at"`    // time of the status
	Since      clock.Time      `json:"since"` // start of the daemon
	Ready      bool            `json:"ready"`
	Reason     string          `json:"reason,omitempty"` // why the VM is not ready
	Config     Config          `json:"config"`
	Watching   bool            `json:"watching"` // this VM watches the platform's store for its failure domain
	SinceReply clock.Span      `json:"silent"`   // time since the last response of the platform to this VM
	Refused    *Refused        `json:"refused,omitempty"`
	Halts      []Halt          `json:"halts"`
	Peers      []Peer          `json:"peers"`
	Servers    []BackendServer `json:"servers"`
	Lease      *Lease          `json:"lease,omitempty"`
}

// Config is the document in force on a VM. Revision is 0 before the first document.
type Config struct {
	Revision uint64     `json:"revision"`
	Digest   string     `json:"digest,omitempty"`
	Since    clock.Time `json:"since,omitempty"`
	Author   string     `json:"author,omitempty"`
	Note     string     `json:"note,omitempty"`
}

// Refused is a stored document that is newer than the one in force, but not valid.
type Refused struct {
	Revision uint64     `json:"revision"`
	Reason   string     `json:"reason"`
	At       clock.Time `json:"at"`
}

// Halt is a version that was halted because of its results.
type Halt struct {
	Model   string     `json:"model"`
	Version string     `json:"version"`
	Reason  string     `json:"reason"`
	At      clock.Time `json:"at"`
}

// Peer is the state of another entry VM, as last received from it.
type Peer struct {
	VM            string     `json:"vm"`
	Domain        string     `json:"domain"`
	State         string     `json:"state"` // state in the membership list, or StateGone
	Config        Config     `json:"config"`
	LastHeartbeat clock.Time `json:"heard"` // time of the last heartbeat
}

// BackendServer is the state of one backend server.
type BackendServer struct {
	Name   string `json:"name"`
	Pool   string `json:"pool"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// Lease is the lease of the failure domain's controller, as last read by this VM.
type Lease struct {
	Holder       string     `json:"holder"`
	FencingToken uint64     `json:"fence"`
	Until        clock.Time `json:"until"`
}

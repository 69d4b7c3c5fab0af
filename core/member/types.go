package member

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// States of a VM, in the order in which an incarnation goes through them.
const (
	Joining State = iota // has no configuration document yet
	Serving
	Leaving // finishes its requests and takes no new ones
	Gone    // sent a leave message, was replaced by a later incarnation, or was silent for too long
	Suspect // silent; a local observation that is never sent
)

// State is the state of a VM.
type State uint8

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "suspect"
	}
}

// Record is what a VM declares about itself. A record with a higher incarnation is later, and of one incarnation the record
// with the higher state.
type Record struct {
	Name   string `cbor:"name"`
	Peer   string `cbor:"peer"` // IP:port of the peers' port
	Domain string `cbor:"domain"`
	Inc    uint64 `cbor:"inc"`
	State  State  `cbor:"state"`
}

// Heartbeat is the message that a VM sends to its peers at each interval, with its status.
type Heartbeat struct {
	State    State  `cbor:"state"`
	View     uint64 `cbor:"view"`             // digest of the sender's view of its domain
	Revision uint64 `cbor:"rev,omitempty"`    // revision of the document in force
	Digest   uint64 `cbor:"digest,omitempty"` // digest of the document and of the halted versions
	Load     uint32 `cbor:"load,omitempty"`   // requests waiting and running
	Record   Record `cbor:"record,omitzero"`  // the sender's record, only until the receiver has sent a heartbeat
}

// View is the list of the VMs of its sender's domain that are not gone by the sender's observation.
type View struct {
	Domain    string   `cbor:"domain"`
	Digest    uint64   `cbor:"digest"`
	Records   []Record `cbor:"records"`
	IsRequest bool     `cbor:"want,omitempty"` // a request for the receiver's view; the other fields are empty
}

// Input is an event that the driver passes to a Fleet.
type Input interface{ input() }

// VMList is a VM list: that of the platform, which lags, or the seeds of the settings.
type VMList struct {
	VMs []work.VM
}

// HeartbeatReceived reports a heartbeat from a peer whose name and incarnation the transport has authenticated.
type HeartbeatReceived struct {
	Name      string
	Inc       uint64
	Heartbeat Heartbeat
}

// ViewReceived reports a view, or a request for one, from a peer.
type ViewReceived struct {
	Name string
	View View
}

// ConnectionOpened reports a new connection to or from a peer. The process of the peer may be new too.
type ConnectionOpened struct{ Name string }

// LeaveReceived reports the leave message of a peer's incarnation.
type LeaveReceived struct {
	Name string
	Inc  uint64
}

// Tick advances the time. The driver sends it several times per heartbeat interval.
type Tick struct{}

// Command is an action that a Fleet requests from its driver.
type Command interface{ command() }

// Connect tells the driver to open a connection to a VM and to keep it.
type Connect struct{ Name, Addr string }

// Disconnect tells the driver to end a connection.
type Disconnect struct{ Name string }

// SendHeartbeat tells the driver to send a heartbeat.
type SendHeartbeat struct {
	To        string
	Heartbeat Heartbeat
}

// SendView tells the driver to send a view.
type SendView struct {
	To   string
	View View
}

// Member is one VM in a Fleet's view.
type Member struct {
	Record
	State             State      // as observed, not as declared in Record
	HeartbeatReceived clock.Time // time of the last heartbeat, 0 if none
	Revision          uint64
	Digest            uint64
	Load              uint32
}

func (VMList) input()            {}
func (HeartbeatReceived) input() {}
func (ViewReceived) input()      {}
func (ConnectionOpened) input()  {}
func (LeaveReceived) input()     {}
func (Tick) input()              {}

func (Connect) command()       {}
func (Disconnect) command()    {}
func (SendHeartbeat) command() {}
func (SendView) command()      {}

// newer reports whether r is a later declaration than s.
func (r Record) newer(s Record) bool {
	return r.Inc > s.Inc || r.Inc == s.Inc && r.State > s.State
}

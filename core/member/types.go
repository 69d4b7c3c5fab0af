package member

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// States of a VM, in the order in which an incarnation goes through them.
const (
	Joining State = iota // has no document yet
	Serving
	Leaving // finishes its requests and takes no new ones
	Gone    // announced its end, was replaced, or was silent for too long
	Suspect // silent; only a local observation
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

// Record is what a VM declares about itself. A higher incarnation is later; in one incarnation a higher
// state is later.
type Record struct {
	Name   string `cbor:"name"`
	Peer   string `cbor:"peer"` // IP:port of the peers' port
	Domain string `cbor:"domain"`
	Inc    uint64 `cbor:"inc"`
	State  State  `cbor:"state"`
}

// Beat is a heartbeat.
type Beat struct {
	State    State  `cbor:"state"`
	View     uint64 `cbor:"view"`             // digest of the records of the sender's domain
	Revision uint64 `cbor:"rev,omitempty"`    // of the document in force
	Digest   uint64 `cbor:"digest,omitempty"` // of the document and of the halted versions
	Load     uint32 `cbor:"load,omitempty"`   // requests waiting and running
	Record   Record `cbor:"record,omitzero"`  // only while the receiver may not know it
}

// View is the list of the VMs of one domain that its sender does not hold for gone.
type View struct {
	Domain  string   `cbor:"domain"`
	Digest  uint64   `cbor:"digest"`
	Records []Record `cbor:"records"`
	Want    bool     `cbor:"want,omitempty"` // the sender asks for the receiver's view and gives none
}

// Input is what a Fleet takes.
type Input interface{ input() }

// Listed is the VM list of the platform or the seeds of the settings. It lags.
type Listed struct {
	VMs []work.VM
}

// Heard is a heartbeat of a peer whose name and incarnation the transport has proved.
type Heard struct {
	Name string
	Inc  uint64
	Beat Beat
}

// Viewed is the view of a peer.
type Viewed struct {
	Name string
	View View
}

// Linked says that a connection to or from a peer is new. Its process may be new too.
type Linked struct{ Name string }

// Left is the leave message of a peer's incarnation.
type Left struct {
	Name string
	Inc  uint64
}

// Tick makes time pass. It is due several times per heartbeat.
type Tick struct{}

// Command is what the driver has to do.
type Command interface{ command() }

// Dial asks for a connection to be kept up.
type Dial struct{ Name, Addr string }

// Hang asks for a connection to be ended.
type Hang struct{ Name string }

// SendBeat asks for a heartbeat to be sent.
type SendBeat struct {
	To   string
	Beat Beat
}

// SendView asks for a view to be sent.
type SendView struct {
	To   string
	View View
}

// Member is one VM as the view has it.
type Member struct {
	Record
	State    State      // as observed
	Heard    clock.Time // last heartbeat, 0 if none
	Revision uint64
	Digest   uint64
	Load     uint32
}

func (Listed) input() {}
func (Heard) input()  {}
func (Viewed) input() {}
func (Linked) input() {}
func (Left) input()   {}
func (Tick) input()   {}

func (Dial) command()     {}
func (Hang) command()     {}
func (SendBeat) command() {}
func (SendView) command() {}

// newer reports whether r is a later declaration than s.
func (r Record) newer(s Record) bool {
	return r.Inc > s.Inc || r.Inc == s.Inc && r.State > s.State
}

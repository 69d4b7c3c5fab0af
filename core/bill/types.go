package bill

import (
	"github.com/samber/oops"

	"shallotrun/core/work"
)

// Answers of a copy holder to a Copy.
const (
	Accepted Answer = iota + 1 // the holder keeps the copy
	Refused                    // another VM took the request over
	Closed                     // the holder has taken the batch over without this bill
	Unknown                    // the holder cannot decide: it restarted, the start is out of range, or its history has gaps or is full
)

// Answers of a copy holder to a Take. Unknown is possible too.
const (
	Granted Answer = iota + 10 // the taker bills the request; no copy will be accepted
	Denied                     // the holder has the owner's copy, so that the owner bills the request
)

// Results of creating an object.
const (
	Created  Outcome = iota + 1
	Exists           // the object was created before
	NoAnswer         // there was no answer: the call may have taken effect
)

// ErrTakenOver is the result of recording the bill of a request that another entry VM took over.
var ErrTakenOver = oops.Errorf("another entry VM took the request over")

// ErrTakeDenied is the result of taking over a request whose bill stays with the first entry VM.
var ErrTakeDenied = oops.Errorf("the first entry VM keeps the bill")

// Answer is the answer of a copy holder.
type Answer uint8

// Outcome is the result of creating an object.
type Outcome uint8

// Copy is a message from an owner to a copy holder with a bill to keep.
type Copy struct {
	Batch  string    `cbor:"batch,omitempty"` // "" for a bill that goes into the object of its request
	Bill   work.Bill `cbor:"bill"`
	Holder string    `cbor:"holder,omitempty"` // copy holder of the request; "" if it need not be checked for a takeover
}

// Take is a message from a taker to the copy holder of a request that asks for the right to bill it.
type Take struct {
	Request string `cbor:"request"`
	Holder  string `cbor:"holder"`
}

// Stored tells a copy holder that the platform's store has all bills of a batch, so that their copies may be dropped.
type Stored struct {
	Batch   string `cbor:"batch,omitempty"`
	Request string `cbor:"request,omitempty"` // instead of a batch, for a bill in the object of its request
}

// Reply is the response to Copy, Take and Stored.
type Reply struct {
	Answer Answer `cbor:"answer"`
}

// Command is an action that a Recorder requests from its driver.
type Command interface{ command() }

// SendCopy tells the driver to send a copy and to pass the answer to CopyAnswered, or to call CopyUnanswered if there is none.
type SendCopy struct {
	To   string
	Copy Copy
}

// SendTake tells the driver to send a take and to pass the answer to TakeAnswered. Tick sends a take without an answer again.
type SendTake struct {
	To   string
	Take Take
}

// SendStored tells the driver to send Stored. The message may be lost: the copy holder then finds the object in the store.
type SendStored struct {
	To     string
	Stored Stored
}

// Create tells the driver to create an object if it does not exist, and to pass the result to CreateAnswered.
type Create struct {
	Name  string
	Bills []work.Bill
}

// Read tells the driver to read an object and to pass the requests in it to ReadAnswered. Nothing is passed if the read fails.
type Read struct{ Name string }

// Finish tells the driver that the response to a request may end.
type Finish struct {
	Request  string
	Err      error // nil or ErrTakenOver
	Uncopied bool  // no other VM is known to have a copy of the bill
}

func (SendCopy) command()   {}
func (SendTake) command()   {}
func (SendStored) command() {}
func (Create) command()     {}
func (Read) command()       {}
func (Finish) command()     {}

package bill

import (
	"github.com/samber/oops"

	"shallotrun/core/work"
)

// What a holder says to a copy.
const (
	Held     Answer = iota + 1 // it has the copy
	Refused                    // another VM took the request
	Closed                     // it has taken the batch over and did not add the copy
	Stranger                   // it is another incarnation, or the request is too old to vouch for
)

// What a holder says to a take. Stranger is possible too.
const (
	Marked Answer = iota + 10 // the request is the taker's; no copy will be accepted
	Filed                     // the first VM has filed its bill
)

// Results of creating an object.
const (
	Made    Outcome = iota + 1
	Exists          // somebody has created it before
	Unclear         // no answer: it may have taken effect
)

// ErrTaken is the result of filing a request that another entry VM took over.
var ErrTaken = oops.Errorf("another entry VM took the request over")

// ErrFiled is the result of taking a request whose bill stays with the first VM.
var ErrFiled = oops.Errorf("the first entry VM keeps the bill")

// Answer is what a holder says.
type Answer uint8

// Outcome is the result of creating an object.
type Outcome uint8

// Copy is a message from an owner to a holder.
type Copy struct {
	Batch  string    `cbor:"batch,omitempty"` // "" for a bill that goes alone into its object
	Bill   work.Bill `cbor:"bill"`
	Holder string    `cbor:"holder,omitempty"` // of the request; "" when the holder need not vouch for it
}

// Take is a message from a taker to the holder of the request.
type Take struct {
	Request string `cbor:"request"`
	Holder  string `cbor:"holder"`
}

// Sealed tells a holder that all bills of a batch are in the platform.
type Sealed struct {
	Batch   string `cbor:"batch,omitempty"`
	Request string `cbor:"request,omitempty"` // in place of a batch: a bill alone in its object
}

// Reply answers Copy, Take and Sealed.
type Reply struct {
	Answer Answer `cbor:"answer"`
}

// Command is what the driver has to do.
type Command interface{ command() }

// SendCopy asks for a copy to be sent. The driver gives the answer to Copied, or to CopyLost.
type SendCopy struct {
	To   string
	Copy Copy
}

// SendTake asks for a take to be sent. The driver gives the answer to Taken; a lost one is sent again later.
type SendTake struct {
	To   string
	Take Take
}

// SendSealed asks for Sealed to be sent. It may be lost: the holder of a lost owner finds the object.
type SendSealed struct {
	To     string
	Sealed Sealed
}

// Create asks for an object to be created if absent. The driver gives the result to Created.
type Create struct {
	Name  string
	Bills []work.Bill
}

// Read asks for an object's requests. The driver gives them to Content, and nothing when it fails.
type Read struct{ Name string }

// Done says that the answer of a request may end. Err is nil or ErrTaken.
type Done struct {
	Request  string
	Err      error
	Uncopied bool
}

func (SendCopy) command()   {}
func (SendTake) command()   {}
func (SendSealed) command() {}
func (Create) command()     {}
func (Read) command()       {}
func (Done) command()       {}

package flow

import "shallotrun/core/work"

// Ways in which an attempt fails.
const (
	// Unsent means that nothing was sent: the server could not be reached.
	Unsent Failure = iota
	// Silent means that the connection made no progress in time.
	Silent
	// Broken means that the connection ended before the answer was complete.
	Broken
	// Rejected means that the server itself said that it did not run the call.
	Rejected
	// Forgotten means that the server does not know the request that was to be resumed.
	Forgotten
	// Errored means that the server answered with an error and did not say that nothing ran.
	Errored
)

// Failure is the way in which an attempt failed.
type Failure uint8

// Event is what the driver tells a flow.
type Event interface{ event() }

type (
	// Start begins the request.
	Start struct{}
	// Granted says that the queue chose a server.
	Granted struct{ Server string }
	// Refused says that the queue or the check at dispatch refused the request.
	Refused struct{ Refusal *work.Refusal }
	// Checked says that the stage's version may get this work now.
	Checked struct{}
	// Rerouted says instead of Checked that the name which the caller asked for means other stages by now.
	Rerouted struct{ Stages []Stage }
	// Waiting says that the server reported that the request waits there.
	Waiting struct{ Attempt int }
	// Token says that the token with number N arrived, counted from 1. It is passed by pointer so that
	// the driver can use one value for a whole stream.
	Token struct{ Attempt, N int }
	// End says that the server finished after Tokens tokens.
	End struct {
		Attempt, Tokens, Prompt int
		Cancelled               bool // the generation was cancelled, not completed
	}
	// Failed says that an attempt failed.
	Failed struct {
		Attempt int
		How     Failure
		Refusal *work.Refusal // the server's own refusal, Rejected only
	}
	// Spent answers Spend.
	Spent struct{ OK bool }
	// Elapsed answers Pause.
	Elapsed struct{}
	// Gone says that the caller went away.
	Gone struct{}
	// Cancelled answers Cancel with the number of tokens that the server generated, 0 if it is not known.
	Cancelled struct{ Tokens int }
	// Rated answers Rate. Next is the stage to go on with if the answer is not accepted.
	Rated struct {
		Accept bool
		Next   int
	}
	// Filed answers File. Taken means that another entry VM took the request over.
	Filed struct{ Taken bool }
)

func (Start) event()     {}
func (Granted) event()   {}
func (Refused) event()   {}
func (Checked) event()   {}
func (Rerouted) event()  {}
func (Waiting) event()   {}
func (*Token) event()    {}
func (End) event()       {}
func (Failed) event()    {}
func (Spent) event()     {}
func (Elapsed) event()   {}
func (Gone) event()      {}
func (Cancelled) event() {}
func (Rated) event()     {}
func (Filed) event()     {}

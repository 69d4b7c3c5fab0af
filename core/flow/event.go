package flow

import "shallotrun/core/work"

// Kinds of failure of an attempt.
const (
	// Unsent means that the server could not be reached, so nothing was sent.
	Unsent Failure = iota
	// TimedOut means that the connection made no progress within the timeout.
	TimedOut
	// Disconnected means that the connection ended before the answer was complete.
	Disconnected
	// Rejected means that the server answered that it did not run the call.
	Rejected
	// UnknownRequest means that the server does not have the request that should be resumed.
	UnknownRequest
	// Errored means that the server answered with an error that does not exclude that the call ran.
	Errored
)

// Failure is the kind of failure of an attempt.
type Failure uint8

// Event is an input from the driver to a flow.
type Event interface{ event() }

type (
	// Start begins the request or its next stage, and follows Release.
	Start struct{}
	// Granted reports the server that the queue chose.
	Granted struct{ Server string }
	// Refused reports that the queue or the check at dispatch refused the request.
	Refused struct{ Refusal *work.Refusal }
	// Checked reports that the stage's version may get this work now.
	Checked struct{}
	// Rerouted is sent instead of Checked if the name that the caller asked for now refers to other stages.
	Rerouted struct{ Stages []Stage }
	// Waiting reports that the request waits at the server.
	Waiting struct{ Attempt int }
	// Token reports that token number N arrived, counted from 1. It is passed by pointer so that the driver can use one
	// value for a whole stream.
	Token struct{ Attempt, N int }
	// End reports that the server finished after Tokens tokens. Prompt is the number of prompt tokens.
	End struct {
		Attempt, Tokens, Prompt int
		Cancelled               bool // the generation was cancelled, not completed
	}
	// Failed reports that an attempt failed.
	Failed struct {
		Attempt int
		Kind    Failure
		Refusal *work.Refusal // the server's own refusal, only for Rejected
	}
	// Spent is the result of Spend. OK reports whether the budget allowed the retry.
	Spent struct{ OK bool }
	// BackoffElapsed reports that the time of Backoff has passed.
	BackoffElapsed struct{}
	// CallerGone reports that the caller disconnected.
	CallerGone struct{}
	// Cancelled is the result of Cancel. Tokens is the number of tokens that the server generated, 0 if unknown.
	Cancelled struct{ Tokens int }
	// Rated is the result of Rate. Next is the index of the stage to continue with if the answer is not accepted.
	Rated struct {
		Accept bool
		Next   int
	}
	// BillSaved is the result of SaveBill. TakenOver means that another entry VM took over the request.
	BillSaved struct{ TakenOver bool }
)

func (Start) event()          {}
func (Granted) event()        {}
func (Refused) event()        {}
func (Checked) event()        {}
func (Rerouted) event()       {}
func (Waiting) event()        {}
func (*Token) event()         {}
func (End) event()            {}
func (Failed) event()         {}
func (Spent) event()          {}
func (BackoffElapsed) event() {}
func (CallerGone) event()     {}
func (Cancelled) event()      {}
func (Rated) event()          {}
func (BillSaved) event()      {}

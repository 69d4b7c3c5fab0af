package flow

import "shallotrun/core/work"

// Command is an action that a flow requests from its driver.
type Command interface{ command() }

type (
	// Queue requests a server for the current stage. The next event is Granted or Refused.
	Queue struct {
		Exclude      []string // servers that failed this request
		CancelServer string   // server whose generation is cancelled in the background, "" for none
		Fresh        bool     // the tokens collected in this stage are discarded
	}
	// Check asks whether the stage's version may get new work. The next event is Checked, Refused or, only while
	// Flow.Fresh returns true, Rerouted.
	Check struct{}
	// Call opens a new connection to Server and reads the first event. From is the number of the last token that is not
	// needed again. Resume requires that the server already has the request.
	Call struct {
		Attempt, From int
		Server        string
		Resume        bool
	}
	// Read reads the next event of the current attempt.
	Read struct{}
	// Deliver passes the token of the last event to the caller and reads the next event.
	Deliver struct{}
	// Hold buffers the token of the last event until the answer is rated, and reads the next event.
	Hold struct{}
	// Spend takes a retry from the retry budget. The next event is Spent.
	Spend struct{}
	// Backoff waits for the backoff before a retry. The next event is BackoffElapsed. Retry is the number of the retry, counted
	// from 1.
	Backoff struct{ Retry int }
	// Cancel cancels the generation at the server. The next event is Cancelled.
	Cancel struct{ Server string }
	// Rate requests a rating of the buffered answer. The next event is Rated.
	Rate struct{}
	// Discard drops the buffered answer. The next event is Start, which begins the next stage.
	Discard struct{}
	// Release passes the buffered answer to the caller. The next event is Start.
	Release struct{}
	// SaveBill stores the bill. The next event is BillSaved.
	SaveBill struct{}
	// Finish sends the end of the answer. It is a final command.
	Finish struct{}
	// Refuse answers with a refusal. It is a final command.
	Refuse struct{ Refusal *work.Refusal }
	// Abort ends a started answer with an error. It is a final command.
	Abort struct{ Refusal *work.Refusal }
	// Drop ends the request and sends nothing, because the caller disconnected or another entry VM serves it. It is a final command.
	Drop struct{}
)

func (Queue) command()    {}
func (Check) command()    {}
func (Call) command()     {}
func (Read) command()     {}
func (Deliver) command()  {}
func (Hold) command()     {}
func (Spend) command()    {}
func (Backoff) command()  {}
func (Cancel) command()   {}
func (Rate) command()     {}
func (Discard) command()  {}
func (Release) command()  {}
func (SaveBill) command() {}
func (Finish) command()   {}
func (Refuse) command()   {}
func (Abort) command()    {}
func (Drop) command()     {}

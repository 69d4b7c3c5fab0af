package flow

import "shallotrun/core/work"

// Command is what a flow asks of its driver.
type Command interface{ command() }

type (
	// Queue asks for a server for the current stage: Granted or Refused follows.
	Queue struct {
		Exclude []string // servers that failed this request
		Abandon string   // server whose generation is to be cancelled without waiting, "" for none
		Fresh   bool     // what was collected of this stage is void
	}
	// Check asks whether the stage's version may get new work: Checked, Refused or, while Fresh reports that nothing
	// was generated, Rerouted follows.
	Check struct{}
	// Call opens a new connection to Server and reads the first event. From is the last token number that
	// is not needed again. Resume says that the server must know the request already.
	Call struct {
		Attempt, From int
		Server        string
		Resume        bool
	}
	// Read reads the next event of the current attempt.
	Read struct{}
	// Deliver passes the token of the last event to the caller and reads the next event.
	Deliver struct{}
	// Hold keeps the token of the last event until the answer is rated, and reads the next event.
	Hold struct{}
	// Spend asks the retry budget: Spent follows.
	Spend struct{}
	// Pause waits before a retry: Elapsed follows. Retry counts from 1.
	Pause struct{ Retry int }
	// Cancel ends the generation at the server: Cancelled follows.
	Cancel struct{ Server string }
	// Rate asks for a rating of the held answer: Rated follows.
	Rate struct{}
	// Discard drops the held answer and starts the next stage with Start.
	Discard struct{}
	// Release passes the held answer to the caller: Start follows.
	Release struct{}
	// File files the bill: Filed follows.
	File struct{}
	// Finish sends the end of the answer. It is final.
	Finish struct{}
	// Refuse answers with a refusal. It is final.
	Refuse struct{ Refusal *work.Refusal }
	// Break ends a started answer with an error. It is final.
	Break struct{ Refusal *work.Refusal }
	// Drop ends without a word to the caller, who is gone or served by another entry VM. It is final.
	Drop struct{}
)

func (Queue) command()   {}
func (Check) command()   {}
func (Call) command()    {}
func (Read) command()    {}
func (Deliver) command() {}
func (Hold) command()    {}
func (Spend) command()   {}
func (Pause) command()   {}
func (Cancel) command()  {}
func (Rate) command()    {}
func (Discard) command() {}
func (Release) command() {}
func (File) command()    {}
func (Finish) command()  {}
func (Refuse) command()  {}
func (Break) command()   {}
func (Drop) command()    {}

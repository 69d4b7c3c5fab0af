package load

import "shallotrun/core/clock"

// Kinds of request.
const (
	KindChat     = "chat"
	KindTag      = "tag"
	KindDispatch = "dispatch"
	KindLookup   = "lookup"
	KindState    = "state"
)

// Outcomes of a request.
const (
	Answered = "answered"
	Refused  = "refused"
	Broken   = "broken"
)

// Record is what became of one request.
type Record struct {
	N        int        `json:"n"`
	Item     string     `json:"item"` // what plain services record as the caller's intent
	Kind     string     `json:"kind"`
	Tenant   string     `json:"tenant"`
	Rank     string     `json:"rank"`
	Model    string     `json:"model,omitempty"`   // as asked for
	Served   string     `json:"served,omitempty"`  // MODEL@VERSION of the answer
	Session  string     `json:"session,omitempty"` // number of the session, not its token
	Key      string     `json:"key,omitempty"`     // Idempotency-Key
	Prompt   string     `json:"prompt,omitempty"`  // engine.PromptID of what the engine gets
	Stream   bool       `json:"stream,omitempty"`
	Target   string     `json:"target"`             // entry address of the last attempt
	Requests []string   `json:"requests,omitempty"` // request ids that entry VMs gave, one for each attempt
	At       clock.Time `json:"at"`                 // wall clock
	Outcome  string     `json:"outcome"`
	Status   int        `json:"status,omitempty"`
	Code     string     `json:"code,omitempty"`
	Ran      string     `json:"ran,omitempty"`
	First    clock.Span `json:"first"` // to the first token or byte
	Total    clock.Span `json:"total"`
	Tokens   int        `json:"tokens,omitempty"`
	Number   uint64     `json:"number,omitempty"` // tag number
	Resumes  int        `json:"resumes,omitempty"`
	Breaks   []Break    `json:"breaks,omitempty"` // attempts that broke, also where a later one was answered
	Dials    int        `json:"dials,omitempty"`  // refused connections before one was accepted
	Whole    bool       `json:"whole"`            // the answer was compared and is complete
	Wrong    string     `json:"wrong,omitempty"`  // what is wrong with the answer
	Error    string     `json:"error,omitempty"`
}

// Break is an attempt whose connection broke or fell silent, or whose stream ended with an error event.
type Break struct {
	Target string     `json:"target"`
	At     clock.Time `json:"at"` // wall clock
	Code   string     `json:"code,omitempty"`
	Silent bool       `json:"silent,omitempty"` // the caller gave up waiting
	Error  string     `json:"error"`
}

// Result is the machine-readable result of a run.
type Result struct {
	Seed    uint64   `json:"seed"`
	Sums    []Sum    `json:"sums"`
	Records []Record `json:"records"`
}

// Sum is the report of one rank and tenant; an empty rank or tenant stands for all.
type Sum struct {
	Rank     string     `json:"rank"`
	Tenant   string     `json:"tenant"`
	Count    int        `json:"count"`
	Answered int        `json:"answered"`
	Refused  int        `json:"refused"`
	Broken   int        `json:"broken"`
	Wrong    int        `json:"wrong"`
	First50  clock.Span `json:"first50"`
	First95  clock.Span `json:"first95"`
	First99  clock.Span `json:"first99"`
	Total50  clock.Span `json:"total50"`
	Total95  clock.Span `json:"total95"`
}

package load

import "shallotrun/core/clock"

// Kinds of request: a chat with a model, or a call to the plain service.
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

// Record is the result of one request.
type Record struct {
	N             int        `json:"n"`
	Item          string     `json:"item"` // identifies the request in the ledgers of plain services
	Kind          string     `json:"kind"`
	Tenant        string     `json:"tenant"`
	Rank          string     `json:"rank"`
	Model         string     `json:"model,omitempty"`   // model, route or cascade that the request named
	ServedVersion string     `json:"served,omitempty"`  // MODEL@VERSION that answered
	Session       string     `json:"session,omitempty"` // name of the session within the run, not its token
	Key           string     `json:"key,omitempty"`     // Idempotency-Key
	PromptID      string     `json:"prompt,omitempty"`  // engine.PromptID of the prompt that the engine receives
	Stream        bool       `json:"stream,omitempty"`
	Target        string     `json:"target"`             // address of the entry VM of the last attempt
	RequestIDs    []string   `json:"requests,omitempty"` // request ids that entry VMs returned, one for each attempt with a response
	SentAt        clock.Time `json:"at"`                 // wall clock
	Outcome       string     `json:"outcome"`
	Status        int        `json:"status,omitempty"`
	Code          string     `json:"code,omitempty"`
	Ran           string     `json:"ran,omitempty"` // whether the request was run, by the refusal: "not run", "ran" or "unknown"
	FirstLatency  clock.Span `json:"first"`         // until the first token, the head of an unstreamed answer, or the end of a plain call
	TotalLatency  clock.Span `json:"total"`         // until the end of the last attempt
	Tokens        int        `json:"tokens,omitempty"`
	TagNumber     uint64     `json:"number,omitempty"`  // number of the tag in the answer of a plain service
	Resumes       int        `json:"resumes,omitempty"` // resumes and retries, and one for the second call of a duplicate
	Breaks        []Break    `json:"breaks,omitempty"`  // attempts that broke, also if a later one was answered
	DialFailures  int        `json:"dials,omitempty"`   // attempts that could not connect
	Complete      bool       `json:"whole"`             // the answer was checked and is complete
	Wrong         string     `json:"wrong,omitempty"`   // how the answer violates what is expected, empty if it does not
	Error         string     `json:"error,omitempty"`
}

// Break is an attempt whose connection broke or timed out, or whose stream ended with an error event.
type Break struct {
	Target   string     `json:"target"`
	At       clock.Time `json:"at"` // wall clock
	Code     string     `json:"code,omitempty"`
	TimedOut bool       `json:"silent,omitempty"` // the idle timeout ended the attempt
	Error    string     `json:"error"`
}

// Result is the machine-readable result of a run.
type Result struct {
	Seed      uint64    `json:"seed"`
	Summaries []Summary `json:"sums"`
	Records   []Record  `json:"records"`
}

// Summary has the counts and latency percentiles of the requests of one rank and tenant; an empty rank or tenant stands for all. The
// percentiles are those of answered requests, in milliseconds.
type Summary struct {
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

package gateway

import (
	"io"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
	"shallotrun/core/work"
	"shallotrun/io/conn"
)

// Field is one header field that is passed through unchanged.
type Field struct{ Name, Value string }

// PromptPart is a part of a prompt that other requests can share, so that its prefix cache entry can be reused.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one request of a caller. It must not be changed after it was passed to Serve.
type Request struct {
	ID             string
	Method         string
	URI            string // path and query as the caller sent them
	Host           string
	Fields         []Field
	Body           []byte
	Key            string     // "" for none
	Trace          string     // traceparent, "" for none
	Timeout        clock.Span // the caller's timeout, 0 if it gives none
	Model          string     // "" for none, ChooseModel if the gateway chooses
	PromptTokens   int
	MaxTokens      int          // token limit of the answer
	ExpectedTokens int          // the caller's estimate of the answer's tokens, 0 for none
	Parts          []PromptPart // parts of the prompt, in order; the last one belongs to this request or its session alone
	Session        string       // "" for none
	LastEventID    int64        // identifier of the last event that the caller has, NoEvent for none
	CallerGone     func() bool  // reports whether the caller closed its connection, nil if that cannot be determined
	EndCaller      func()       // closes the caller's connection, which makes writes to it fail; nil if that is not possible
}

// NoEvent is the event identifier that stands for the position before the first event.
const NoEvent = -1

// Answer is the final answer to a request: Refused, Buffered or *Stream.
type Answer interface{ answer() }

// Refused is a refusal by the gateway itself.
type Refused struct{ work.Refusal }

// Buffered is an answer of a backend server with its complete body in memory. If Large reports true, Release must be called after
// the body was sent to the caller.
type Buffered struct {
	Status int
	Fields []Field
	Body   []byte

	holder *holder // of the memory reserved for a large body, nil for a small one
}

// Large reports whether the body has memory reserved that Release gives back.
func (w *Buffered) Large() bool { return w.holder != nil }

func (Refused) answer()  {}
func (Buffered) answer() {}
func (*Stream) answer()  {}

// Attempt is one try to have a request answered by one backend server.
type Attempt struct {
	Request     *Request
	Server      backend.Server
	Workspace   string     // "" for none
	Model       string     // model that the gateway chose, "" to leave the caller's choice
	Urgency     int        // priority in the server's own queue, 0 is the highest
	TimeLeft    clock.Span // time until the request's deadline
	Trace       string     // traceparent, "" for none
	LastEventID int64      // event after which the server continues, NoEvent for the start
	NewConn     bool       // use a new connection: an open one can lead to a server that no longer exists
	Stream      bool       // the answer is expected to be a stream of events
	Abort       *conn.Abort
	// Reserve reserves bytes of memory for a large event, until keep releases them but for a smaller number, at last 0. It returns false if
	// so many are not free.
	Reserve func(bytes int64) (keep func(bytes int64), ok bool)
}

// Reply is the answer of a backend server after its head was read.
type Reply struct {
	Status     int
	Fields     []Field
	Confidence int              // of the model in its answer, in per cent, NoConfidence if the server gives none
	Body       io.Reader        // nil if there is no body
	Length     int              // length of the body in bytes, -1 if it is chunked, or endsWithConnection
	Events     Events           // events of a stream, nil for another answer
	Close      func(whole bool) // whole: the answer was read to its end, so the connection can be reused
	Notice     Notice           // what the answer says about its server
}

// endsWithConnection is the length of a body that has neither a length nor chunks.
const endsWithConnection = -2

// NoConfidence is the confidence of an answer for which the server gives none.
const NoConfidence = -1

// Event is one event of a stream, with the bytes that are sent to the caller.
type Event struct {
	ID  int64
	Raw []byte // valid until the next call of Next
}

// Events reads the events of a stream.
type Events interface {
	// Next reads the next event. It returns io.EOF when the stream is complete.
	Next(*Event) error
	// Buffered reports whether more bytes can be read without blocking.
	Buffered() bool
}

// Backend sends attempts to backend servers. Its errors are of type *Fault; any other error is treated as OutcomeUnknown.
type Backend interface {
	// Send sends an attempt and reads the head of the answer.
	Send(a *Attempt) (*Reply, error)
	// Report requests the load report of a server that runs models, on a new connection.
	Report(v backend.Server) (LoadReport, error)
	// Ended reports whether the process of a server has ended. It is false for a server that cannot be reached.
	Ended(v backend.Server) bool
}

// LoadReport is a load report, with what the answer says about the server's limit.
type LoadReport struct {
	work.Load
	Notice Notice
}

// Kinds of failed attempts, by whether the request may have run.
const (
	NotSent         FaultKind = iota // nothing was sent to the server
	RefusedByServer                  // the server answered that it did not run the request
	Moved                            // another server answers at the address
	OutcomeUnknown                   // the request may have run
)

// FaultKind is the kind of a failed attempt.
type FaultKind uint8

// Notice is what an answer says about the server that gave it.
type Notice struct {
	Limit limit.Notice // to all VMs
	Pause clock.Span   // it takes no requests from this VM for as long, 0 if it says nothing of that
}

// Fault is the error of a failed attempt.
type Fault struct {
	Kind   FaultKind
	Err    error
	Notice Notice // what the answer says about its server, if there was one
}

// Error returns the kind and the cause.
func (f *Fault) Error() string { return f.Kind.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// String returns the name that log lines and the metric of failed attempts use.
func (k FaultKind) String() string {
	switch k {
	case NotSent:
		return "not sent"
	case RefusedByServer:
		return "refused"
	case Moved:
		return "moved"
	default:
		return "unknown"
	}
}

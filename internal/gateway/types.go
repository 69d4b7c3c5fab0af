package gateway

import (
	"io"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/io/conn"
)

// Field is one header that passes through.
type Field struct{ Name, Value string }

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is one request of a caller. It is not changed once it is given to Serve.
type Request struct {
	ID       string
	Method   string
	URI      string // path and query as the caller sent them
	Host     string
	Fields   []Field
	Body     []byte
	Key      string     // "" for none
	Trace    string     // traceparent, "" for none
	Wait     clock.Span // how long the caller waits, 0 if it does not say
	Model    string     // "" for none
	Prompt   int        // tokens
	Output   int        // most tokens of the answer
	Expected int        // tokens of the answer by the caller's estimate, 0 for none
	Parts    []Part     // of the prompt, in order; the last one is the request's or its session's own
	Session  string     // "" for none
	After    int64      // identifier of the last event that the caller has, NoEvent for none
	Gone     func() bool
}

// NoEvent is the identifier before the first event.
const NoEvent = -1

// Answer is a final answer: Refused, Whole or *Stream.
type Answer interface{ answer() }

// Refused is an answer of the gateway's own.
type Refused struct{ work.Refusal }

// Whole is an answer of a backend server whose body is complete. Release is called once the body was passed on.
type Whole struct {
	Status int
	Fields []Field
	Body   []byte

	release func() // gives back the room of a large body, nil for a small one
}

// Large reports whether the body takes of the room for large answers.
func (w *Whole) Large() bool { return w.release != nil }

func (Refused) answer() {}
func (Whole) answer()   {}
func (*Stream) answer() {}

// Attempt is one request to one backend server.
type Attempt struct {
	Request   *Request
	Server    backend.Server
	Workspace string     // "" for none
	Model     string     // named to the server, "" for none
	Urgency   int        // rank for the server's own queue, 0 first
	Left      clock.Span // time until the end
	Trace     string     // traceparent, "" for none
	After     int64      // event after which the server is to go on, NoEvent for the start
	Fresh     bool       // on a new connection: an open one may lead to a server that is gone
	Stream    bool       // the answer is expected to be a series of events
	Abort     *conn.Abort
}

// Reply is the answer of a backend server, of which the head was read.
type Reply struct {
	Status     int
	Fields     []Field
	Confidence int       // in per cent, NoConfidence if the server does not say
	Body       io.Reader // nil for no body
	Length     int       // of the body in bytes, -1 if it ends with the connection, -2 if it is in chunks
	Events     Events    // of a stream, nil otherwise
	Close      func(whole bool)
}

// NoConfidence is the confidence of a server that does not name one.
const NoConfidence = -1

// Event is one event of a stream, with the bytes that are passed on.
type Event struct {
	ID  int64
	Raw []byte // valid until the next call of Next
}

// Events reads the events of a stream.
type Events interface {
	// Next reads the next event. It fails with io.EOF at the complete end.
	Next(*Event) error
	// Buffered reports whether more can be read without waiting.
	Buffered() bool
}

// Backend sends attempts. Its errors are of type *Fault.
type Backend interface {
	Send(a *Attempt) (*Reply, error)
	// Report asks a server that runs models for its load, on a connection of its own.
	Report(v backend.Server) (work.Load, error)
}

// What is known about a failed attempt.
const (
	Unsent  How = iota // nothing reached the server
	Refuse             // the server says that it did not run the request
	Moved              // another server has the address
	Unknown            // the request may have run
)

// How says how an attempt failed.
type How uint8

// Fault is a failed attempt.
type Fault struct {
	How How
	Err error
}

// Error describes the fault.
func (f *Fault) Error() string { return f.How.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// String returns the name for log lines.
func (h How) String() string {
	switch h {
	case Unsent:
		return "not sent"
	case Refuse:
		return "refused"
	case Moved:
		return "moved"
	default:
		return "unknown"
	}
}

package flow

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Stage is a model and version that the flow may use.
type Stage struct {
	Model, Version string
	Deterministic  bool // the same request gives the same tokens on every replica
}

// Flow is the state of one request. The exported fields are set before the first Step.
type Flow struct {
	Stages     []Stage    // in the order of use, more than one for a cascade
	Deadline   clock.Time // until the first token, 0 for none
	MaxRetries int        // maximum number of retries on other servers in each stage
	MaxResumes int        // maximum number of consecutive reconnections without a new token

	// Buffered means that the caller gets nothing before the end, so that the answer may be generated again from the
	// start on another server.
	Buffered bool

	// Resumed means that the flow continues a stream that another entry VM or connection started: Server generates it,
	// and the caller has the tokens up to number LastToken.
	Resumed       bool
	Server        string
	LastToken     int
	PriorAttempts int  // attempts made before the resume
	CanRestart    bool // the whole request is available, so it may be generated again

	state           state
	stage           int
	attempt         int
	retries         int
	resumes         int  // reconnections since the last new token
	discardPartial  bool // the collected part of the answer is discarded on the next server
	sent            bool // a call was sent and the server did not refuse it
	mayHaveRequest  bool // the current server may have the request
	acknowledged    bool // the current server confirmed that it has the request
	billed          bool // the tokens of the current stage are in the bill
	delivered       bool // a token was delivered
	billSaved       bool
	exclude         []string
	refusal         *work.Refusal // refusal for Refuse or Abort, nil for Finish
	dropping        bool          // the flow ends with Drop
	cancelAfterBill bool          // the generation is still running and is cancelled after the bill is stored
	bill            []work.Stage
}

type state uint8

const (
	idle state = iota
	queued
	checking
	calling
	spending
	backingOff
	cancelling
	rating
	releasing
	discarding
	savingBill
	done
)

// Attempt returns the number of the current attempt, counted from 1.
func (f *Flow) Attempt() int { return f.PriorAttempts + f.attempt }

// Stage returns the index of the current stage.
func (f *Flow) Stage() int { return f.stage }

// Bill returns the stages to bill. It is complete when Step returns SaveBill.
func (f *Flow) Bill() []work.Stage { return f.bill }

// Delivered reports whether a token was delivered.
func (f *Flow) Delivered() bool { return f.delivered }

// Fresh reports whether, as far as the flow has seen, nothing was generated, so that its stages may still change.
func (f *Flow) Fresh() bool {
	return !f.Resumed && f.stage == 0 && f.LastToken == 0 && len(f.bill) == 0
}

// Done reports whether Step has returned a final command.
func (f *Flow) Done() bool { return f.state == done }

// Step handles an event and returns the next command. While a call is open, events of an earlier attempt, such as late tokens,
// change nothing, and the flow requests the next event with Read.
func (f *Flow) Step(now clock.Time, ev Event) Command {
	if _, ok := ev.(CallerGone); ok {
		return f.onCallerGone()
	}
	switch f.state {
	case idle:
		return f.start()
	case queued:
		return f.onQueue(ev)
	case checking:
		return f.onCheck(now, ev)
	case calling:
		return f.onCall(now, ev)
	case spending:
		return f.onSpent(ev)
	case backingOff:
		return f.enqueue()
	case cancelling:
		return f.onCancelled(ev)
	case rating:
		return f.onRated(ev)
	case discarding:
		return f.enqueue()
	case releasing:
		return f.saveBill()
	case savingBill:
		return f.onBillSaved(ev)
	}
	return Drop{}
}

func (f *Flow) start() Command {
	f.delivered = f.Resumed && f.LastToken > 0
	if f.Resumed {
		f.sent, f.mayHaveRequest, f.acknowledged = true, true, true
		return f.call()
	}
	return f.enqueue()
}

func (f *Flow) enqueue() Command {
	f.state = queued
	c := Queue{Exclude: f.exclude, Fresh: f.discardPartial}
	if f.mayHaveRequest {
		c.CancelServer = f.Server
	}
	f.Server, f.mayHaveRequest, f.acknowledged, f.resumes, f.discardPartial = "", false, false, 0, false
	return c
}

func (f *Flow) onQueue(ev Event) Command {
	switch e := ev.(type) {
	case Granted:
		f.Server = e.Server
		f.state = checking
		return Check{}
	case Refused:
		return f.fail(e.Refusal)
	}
	return f.fail(f.unexpectedEvent())
}

func (f *Flow) onCheck(now clock.Time, ev Event) Command {
	switch e := ev.(type) {
	case Checked:
		if f.pastDeadline(now) {
			return f.fail(f.deadlineRefusal())
		}
		return f.call()
	case Rerouted:
		if f.Fresh() {
			f.Stages, f.exclude = e.Stages, nil
			return f.enqueue()
		}
	case Refused:
		return f.fail(e.Refusal)
	}
	return f.fail(f.unexpectedEvent())
}

// call opens the next attempt. An attempt that is not a resume requests all tokens and skips those that the caller has.
func (f *Flow) call() Command {
	f.state = calling
	f.attempt++
	c := Call{Attempt: f.Attempt(), Server: f.Server, Resume: f.acknowledged}
	if f.acknowledged {
		c.From = f.LastToken
	}
	return c
}

func (f *Flow) onCall(now clock.Time, ev Event) Command {
	switch e := ev.(type) {
	case *Token:
		return f.onToken(e)
	case Waiting:
		if e.Attempt == f.Attempt() {
			f.sent, f.mayHaveRequest, f.acknowledged = true, true, true
		}
		if f.pastDeadline(now) {
			f.refusal = f.deadlineRefusal()
			return f.cancel()
		}
	case End:
		if e.Attempt == f.Attempt() {
			f.sent, f.mayHaveRequest, f.acknowledged = true, true, true
			return f.onEnd(e)
		}
	case Failed:
		if e.Attempt == f.Attempt() {
			return f.onFailed(e)
		}
	}
	return Read{}
}

func (f *Flow) onToken(e *Token) Command {
	if e.Attempt != f.Attempt() {
		return Read{}
	}
	f.sent, f.mayHaveRequest, f.acknowledged = true, true, true
	if e.N <= f.LastToken {
		return Read{}
	}
	if e.N > f.LastToken+1 { // the missing tokens have to come from a new connection
		return f.onFailed(Failed{Attempt: f.Attempt(), Kind: Disconnected})
	}
	f.LastToken, f.resumes = e.N, 0
	if f.stage < len(f.Stages)-1 {
		return Hold{}
	}
	f.delivered = !f.Buffered
	return Deliver{}
}

func (f *Flow) onEnd(e End) Command {
	switch {
	case e.Cancelled:
		return f.fail(f.failedRefusal("the generation was cancelled"))
	case e.Tokens > f.LastToken: // tokens are missing
		return f.onFailed(Failed{Attempt: f.Attempt(), Kind: Disconnected})
	case e.Tokens < f.LastToken: // the answer is not the one that was delivered so far
		return f.fail(f.failedRefusal("the server ended before the tokens that it sent"))
	}
	f.addToBill(e.Tokens, e.Prompt)
	if f.stage < len(f.Stages)-1 {
		f.state = rating
		return Rate{}
	}
	return f.saveBill()
}

func (f *Flow) onFailed(e Failed) Command {
	switch e.Kind {
	case TimedOut, Disconnected:
		f.sent, f.mayHaveRequest = true, true
		return f.reconnect()
	case Unsent:
		if f.acknowledged {
			return f.reconnect()
		}
	case Rejected:
		f.refusal = e.Refusal
	case Errored:
		f.sent = true
	}
	return f.tryNextServer()
}

// reconnect calls the current server on a new connection.
func (f *Flow) reconnect() Command {
	f.resumes++
	switch {
	case f.acknowledged && f.resumes <= f.MaxResumes:
		return f.call()
	case !f.acknowledged && f.resumes <= 1:
		// The server may not have the request, so this call may start a generation and needs a new check.
		f.state = checking
		return Check{}
	}
	return f.tryNextServer()
}

// tryNextServer gives up the current server. It retries the request on another server if nothing was delivered to the caller or
// if every replica generates the same tokens, and fails the request otherwise.
func (f *Flow) tryNextServer() Command {
	canRegenerate := f.Stages[f.stage].Deterministic && (!f.Resumed || f.CanRestart)
	nothingDelivered := !f.delivered && (f.Buffered || f.stage < len(f.Stages)-1)
	if f.LastToken > 0 && !canRegenerate && !nothingDelivered {
		return f.fail(f.failedRefusal("the backend server was lost"))
	}
	if f.Resumed && !canRegenerate || f.retries >= f.MaxRetries {
		return f.fail(f.failedRefusal("every attempt failed"))
	}
	f.discardPartial = f.LastToken > 0 && !canRegenerate
	f.state = spending
	return Spend{}
}

func (f *Flow) onSpent(ev Event) Command {
	if e, ok := ev.(Spent); !ok || !e.OK {
		return f.fail(f.failedRefusal("the retry budget is spent"))
	}
	f.refusal = nil
	f.retries++
	if f.discardPartial {
		f.LastToken = 0
	}
	f.exclude = append(f.exclude, f.Server)
	f.state = backingOff
	return Backoff{Retry: f.retries}
}

func (f *Flow) onRated(ev Event) Command {
	if e, ok := ev.(Rated); ok && !e.Accept {
		f.stage = min(max(e.Next, f.stage+1), len(f.Stages)-1)
		f.LastToken, f.Server, f.mayHaveRequest, f.billed, f.exclude, f.retries = 0, "", false, false, nil, 0
		f.state = discarding
		return Discard{}
	}
	f.delivered = !f.Buffered
	f.state = releasing
	return Release{}
}

// onCallerGone ends the request of a caller that disconnected: it bills the generated tokens and cancels the generation. If the
// caller may have a resume token, the bill is stored first, because the generation must go on if another entry VM took over
// the request.
func (f *Flow) onCallerGone() Command {
	f.dropping = true
	switch f.state {
	case done:
		return Drop{}
	case calling, spending, backingOff:
		if !f.delivered { // the caller has no resume token
			return f.cancel()
		}
		f.cancelAfterBill = true
		f.addToBill(f.LastToken, 0)
	case queued, checking, cancelling:
		f.addToBill(f.LastToken, 0)
	}
	return f.saveBill()
}

func (f *Flow) cancel() Command {
	f.state = cancelling
	return Cancel{Server: f.Server}
}

func (f *Flow) onCancelled(ev Event) Command {
	if e, ok := ev.(Cancelled); ok {
		f.addToBill(max(e.Tokens, f.LastToken), 0)
	}
	return f.saveBill()
}

// fail ends the request with a refusal and bills the generated tokens.
func (f *Flow) fail(r *work.Refusal) Command {
	if f.sent && r.Ran == work.NotRun {
		c := *r
		c.Ran = work.RunUnknown
		r = &c
	}
	f.refusal = r
	f.addToBill(f.LastToken, 0)
	return f.saveBill()
}

// addToBill adds the tokens of the current stage to the bill, at most once.
func (f *Flow) addToBill(tokens, prompt int) {
	if f.billed || tokens == 0 && prompt == 0 {
		return
	}
	f.billed = true
	s := f.Stages[f.stage]
	f.bill = append(f.bill, work.Stage{Model: s.Model, Version: s.Version, Tokens: tokens, Prompt: prompt})
}

func (f *Flow) saveBill() Command {
	if f.billSaved || len(f.bill) == 0 {
		return f.finish()
	}
	f.state, f.billSaved = savingBill, true
	return SaveBill{}
}

func (f *Flow) onBillSaved(ev Event) Command {
	if e, ok := ev.(BillSaved); ok && e.TakenOver {
		f.dropping, f.cancelAfterBill = true, false
	}
	if f.cancelAfterBill {
		f.cancelAfterBill = false
		return f.cancel()
	}
	return f.finish()
}

func (f *Flow) finish() Command {
	f.state = done
	switch {
	case f.dropping:
		return Drop{}
	case f.refusal == nil:
		return Finish{}
	case f.delivered:
		return Abort{Refusal: f.refusal}
	}
	return Refuse{Refusal: f.refusal}
}

func (f *Flow) pastDeadline(now clock.Time) bool {
	return f.Deadline > 0 && f.LastToken == 0 && !f.Resumed && !now.Before(f.Deadline)
}

func (f *Flow) deadlineRefusal() *work.Refusal {
	return &work.Refusal{Code: work.CodeDeadline, Status: 504, Ran: f.ran(),
		Detail: "the deadline passed before the first token"}
}

// failedRefusal returns the refusal for a request whose last attempt failed. A refusal by the server itself is passed on.
func (f *Flow) failedRefusal(detail string) *work.Refusal {
	if f.refusal != nil {
		return f.refusal
	}
	if f.Resumed {
		return &work.Refusal{Code: work.CodeResumeGone, Status: 410, Ran: work.RunUnknown, Detail: detail}
	}
	return &work.Refusal{Code: work.CodeBackendFailed, Status: 502, Ran: f.ran(), Detail: detail}
}

func (f *Flow) unexpectedEvent() *work.Refusal {
	return &work.Refusal{Code: work.CodeBackendFailed, Status: 500, Ran: f.ran(),
		Detail: "an event arrived that does not fit the state"}
}

func (f *Flow) ran() work.Ran {
	if f.sent {
		return work.RunUnknown
	}
	return work.NotRun
}

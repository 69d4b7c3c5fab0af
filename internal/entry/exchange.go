package entry

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"

	"shallotrun/core/cascade"
	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/flow"
	"shallotrun/core/retry"
	"shallotrun/core/route"
	"shallotrun/core/token"
	"shallotrun/core/work"
	"shallotrun/io/caller"
	"shallotrun/io/conn"
	"shallotrun/io/engine"
)

// exchange runs the flow of one request to a model: it executes the commands of the flow and returns the results as events.
// It runs on the goroutine of the caller's connection: first in the handler, then, for a stream, in Read, which fasthttp calls
// after it has written the previous events.
type exchange struct {
	d              *Daemon
	request        *request
	conn           net.Conn
	name           string // name of the model, route or cascade that the caller asked for
	prompt         string
	maxTokens      int
	streaming      bool
	session        *token.Session
	pinned         bool // the session was already pinned to its versions
	cascade        *document.Cascade
	cascadeRequest cascade.Request // for the chooser
	firstStage     int             // index of the flow's first stage in the cascade
	startCounted   bool            // the start of the cascade was added to the metrics
	sampled        bool            // an answer of the last stage is rated in the background
	takenOver      atomic.Bool     // another exchange of this VM took over the request
	resumed        *token.Resume
	billHolder     string
	priorStages    []work.Stage
	unbilled       bool // another VM bills the request

	flow            flow.Flow
	event           flow.Event // next input of the flow, nil to read it from the server
	final           flow.Command
	lastCallerCheck clock.Time // last check whether the caller is connected
	pool            *pool
	ticket          *ticket // holds a slot of vm; nil for none
	vm              work.VM
	stream          *engine.Stream
	attempt         attempt
	lastEvent       engine.Event
	token           flow.Token
	endEvent        engine.Event
	span            trace.Span // of the attempt, nil between attempts

	chunks      *caller.Chunks
	tokenPrefix []byte      // resume token and a dot; the number of the token completes the event identifier
	out         []byte      // events for the caller
	outRead     int         // bytes of out that Read has returned
	text        []byte      // answer that is not streamed
	held        []heldToken // tokens that are buffered until the rating of the stage

	sampleText []byte // answer of the last stage, if it is sampled
}

// heldToken is a token that is buffered until the answer is rated.
type heldToken struct {
	n    int
	text []byte
}

// attempt holds the measurements of an attempt.
type attempt struct {
	start      clock.Time
	firstToken clock.Span
	tokens     int
}

// maxBatchBytes is the size at which events are written to the caller although more can be read without waiting.
const maxBatchBytes = 2 << 10

// errIncomplete is returned by Read to abort the response, so that the caller does not take it for complete.
var errIncomplete = errors.New("the stream could not be completed")

// Read returns the next events of a stream for the caller's connection.
func (x *exchange) Read(p []byte) (int, error) {
	for x.outRead == len(x.out) {
		x.out, x.outRead = x.out[:0], 0
		if x.flow.Done() {
			if _, ok := x.final.(flow.Finish); ok {
				return 0, io.EOF
			}
			return 0, errIncomplete
		}
		x.advance()
	}
	n := copy(p, x.out[x.outRead:])
	x.outRead += n
	return n, nil
}

// Close ends the body stream of the response. If the flow is not done, the caller has disconnected.
func (x *exchange) Close() error {
	if !x.flow.Done() {
		x.event = flow.CallerGone{}
		for !x.flow.Done() {
			x.advance()
		}
	}
	x.releaseAll()
	x.d.finishRequest(x.request)
	return nil
}

// releaseAll closes the connection, releases the slot and unregisters the exchange.
func (x *exchange) releaseAll() {
	x.closeStream()
	x.releaseSlot()
	x.d.unregister(x)
}

// advance steps the flow until there are events to write or the flow is done.
func (x *exchange) advance() {
	for !x.flow.Done() {
		if x.event == nil {
			if len(x.out) > x.outRead && (len(x.out) > maxBatchBytes || !x.stream.Buffered()) {
				return
			}
			x.event = x.readEvent()
		}
		c := x.flow.Step(x.d.Clock.Now(), x.event)
		x.event = nil
		x.execute(c)
	}
}

// execute executes a command. Commands other than Read, Deliver and Hold set the next event, unless they are final.
func (x *exchange) execute(c flow.Command) {
	switch c := c.(type) {
	case flow.Read:
	case flow.Deliver:
		x.deliver(x.token.N, x.lastEvent.Text)
	case flow.Hold:
		x.held = append(x.held, heldToken{x.token.N, append([]byte(nil), x.lastEvent.Text...)})
	case flow.Queue:
		x.event = x.enqueue(c)
	case flow.Check:
		x.event = x.check()
	case flow.Call:
		x.event = x.call(c)
	case flow.Spend:
		x.event = flow.Spent{OK: x.pool == nil || x.pool.spendRetry()}
	case flow.Backoff:
		x.event = x.backOff(c)
	case flow.Cancel:
		x.event = x.cancel()
	case flow.Rate:
		x.event = x.rate()
	case flow.Discard:
		x.held = nil
		x.event = flow.Start{}
	case flow.Release:
		for _, h := range x.held {
			x.deliver(h.n, h.text)
		}
		x.event = flow.Start{}
	case flow.SaveBill:
		x.event = x.saveBill()
	default:
		x.finish(c)
	}
}

// target returns the model and version of the current stage.
func (x *exchange) target() route.Target {
	s := x.flow.Stages[x.flow.Stage()]
	return route.Target{Model: s.Model, Version: s.Version}
}

// deliver appends a token to the answer.
func (x *exchange) deliver(n int, text []byte) {
	x.appendSample(text)
	if !x.streaming {
		x.text = append(x.text, text[1:len(text)-1]...)
		return
	}
	if x.chunks == nil {
		c, err := caller.NewChunks(x.request.id, x.target().String())
		if err != nil {
			x.d.Log.Error().Err(err).Msg("caller: encoding a stream chunk failed")
			return
		}
		x.chunks = c
	}
	x.out = x.chunks.Append(x.out, x.tokenPrefix, n, text)
}

// enqueue queues the request and waits for a server.
func (x *exchange) enqueue(c flow.Queue) flow.Event {
	x.closeStream()
	x.releaseSlot()
	if c.Fresh {
		x.text, x.held, x.sampleText = nil, nil, nil
	}
	if c.CancelServer != "" {
		vm, t := x.vm, x.target()
		go func() { _, _ = x.d.engines.Cancel(vm.Addr, x.request.id, t.Model, t.Version) }()
	}
	t := x.d.table()
	model := x.target().Model
	name := t.Pool(model)
	if name == "" {
		return flow.Refused{Refusal: refuse(work.CodeNoServer, 503, "no pool serves model "+model)}
	}
	x.pool = x.d.pool(name, t.Slots(name))
	span := x.d.hopSpan(x.request, spanQueue)
	defer span.End()
	start := x.d.Clock.Now()
	item, placement := x.queueRequest(c.Exclude)
	ticket, refusal := x.pool.enqueue(item, placement)
	if refusal != nil {
		return flow.Refused{Refusal: refusal}
	}
	g, gone := x.pool.wait(ticket, x.callerGone)
	switch {
	case gone:
		return flow.CallerGone{}
	case g.refusal != nil:
		return flow.Refused{Refusal: g.refusal}
	}
	x.vm, x.ticket = g.server, ticket
	x.d.metrics.queued.WithLabelValues(x.request.rank.String()).Observe(x.d.Clock.Now().Sub(start).Std().Seconds())
	return flow.Granted{Server: x.vm.Name}
}

// check decides by the document that is in force now whether the version may get this work.
func (x *exchange) check() flow.Event {
	span := x.d.hopSpan(x.request, spanDispatch)
	defer span.End()
	if refusal := x.d.waitFresh(); refusal != nil {
		return flow.Refused{Refusal: refusal}
	}
	t := x.d.table()
	w := t.Workspace(x.request.workspace.Name)
	if t != x.request.table && w != nil && !x.pinned && x.flow.Fresh() {
		return x.reroute(t, w)
	}
	if refusal := t.Check(w, x.target(), x.pinned, x.d.conditions()); refusal != nil {
		return flow.Refused{Refusal: refusal}
	}
	return flow.Checked{}
}

// reroute applies a document that came into force while the request was queued: the name may now refer to another model, and
// the version may be withdrawn. A version that is still allowed is kept.
func (x *exchange) reroute(t *route.Table, w *route.Workspace) flow.Event {
	x.request.table, x.request.workspace = t, w
	before := x.target()
	c, refusal := t.Choose(x.routeRequest(), x.d.conditions())
	if refusal != nil {
		return flow.Refused{Refusal: refusal}
	}
	x.setChoice(c)
	s := flowStages(t, c.Stages[x.firstStage:])
	if before.Model == s[0].Model {
		if t.Check(w, before, false, x.d.conditions()) == nil {
			s[0].Version = before.Version
		}
		x.flow.Stages = s
		return flow.Checked{}
	}
	return flow.Rerouted{Stages: s}
}

// call starts an attempt. It returns an event only if the attempt failed.
func (x *exchange) call(c flow.Call) flow.Event {
	x.closeStream()
	now := x.d.Clock.Now()
	x.attempt = attempt{start: now}
	if c.Resume {
		x.d.metrics.resumes.Inc()
	} else if x.pool != nil && c.Attempt == 1 {
		x.pool.recordAttempt()
	}
	t := x.target()
	g := &engine.GenerateRequest{
		Request: x.request.id, Attempt: c.Attempt, Model: t.Model, Version: t.Version, Prompt: x.prompt,
		Limit: x.maxTokens, Priority: int(x.request.rank), From: c.From, Attach: c.Resume,
	}
	if x.session != nil {
		g.Session = x.session.ID
	}
	x.span = x.d.hopSpan(x.request, spanBackend)
	setAttempt(x.span, t.Model, t.Version, x.vm.Name, c.Attempt)
	s, err := x.d.engines.Generate(x.vm.Addr, g, x.request.timeLeft(now, 0), x.request.traceparent(x.span))
	if err != nil {
		return x.attemptFailed(err)
	}
	x.stream = s
	if x.streaming {
		x.signResume(c.Attempt)
	}
	return nil
}

// signResume signs the resume token of an attempt.
func (x *exchange) signResume(attempt int) {
	t := x.target()
	r := &token.Resume{
		Request: x.request.id, Workspace: x.request.workspace.Name, Model: t.Model, Version: t.Version,
		Server: x.vm.Name, Addr: x.vm.Addr, Holder: x.billHolder, Attempt: attempt,
		PromptHash: xxhash.Sum64String(x.prompt), MaxTokens: x.maxTokens,
	}
	if x.resumed != nil {
		r.PromptHash = x.resumed.PromptHash
	}
	for _, s := range slices.Concat(x.priorStages, x.flow.Bill()) {
		r.FinishedStages = append(r.FinishedStages, token.Stage{Model: s.Model, Version: s.Version, PromptTokens: s.Prompt, Tokens: s.Tokens})
	}
	text, err := x.d.signer.SignResume(r)
	if err != nil {
		x.d.Log.Error().Err(err).Msg("caller: signing the resume token failed")
	}
	x.tokenPrefix = append(append(x.tokenPrefix[:0], text...), '.')
}

// readEvent reads the next event of the attempt.
func (x *exchange) readEvent() flow.Event {
	if now := x.d.Clock.Now(); now.Sub(x.lastCallerCheck) >= callerCheckInterval {
		x.lastCallerCheck = now
		if x.callerGone() {
			return flow.CallerGone{}
		}
	}
	if err := x.stream.Next(&x.lastEvent); err != nil {
		return x.attemptFailed(err)
	}
	n := x.flow.Attempt()
	switch x.lastEvent.Kind {
	case engine.EventToken:
		x.attempt.tokens++
		x.recordFirst()
		x.token = flow.Token{Attempt: n, N: x.lastEvent.TokenNumber}
		return &x.token
	case engine.EventEnd:
		x.endEvent = x.lastEvent
		x.recordFirst()
		cancelled := !x.lastEvent.Complete()
		x.reportAttempt(work.Result{})
		x.closeStream()
		x.releaseSlot()
		return flow.End{Attempt: n, Tokens: x.endEvent.CompletionTokens, Prompt: x.endEvent.PromptTokens, Cancelled: cancelled}
	}
	return flow.Waiting{Attempt: n}
}

// recordFirst records the time to the first token or, if the answer has none, to its end.
func (x *exchange) recordFirst() {
	if x.attempt.firstToken != 0 {
		return
	}
	now := x.d.Clock.Now()
	x.attempt.firstToken = max(now.Sub(x.attempt.start), 1)
	if x.flow.LastToken == 0 {
		x.d.metrics.firstToken.WithLabelValues(x.request.rank.String()).Observe(now.Sub(x.request.arrived).Std().Seconds())
	}
}

// attemptFailed reports a failed attempt and returns the kind of failure.
func (x *exchange) attemptFailed(err error) flow.Event {
	setError(x.span, err.Error())
	x.closeStream()
	ev := flow.Failed{Attempt: x.flow.Attempt()}
	var refused *engine.Refused
	var connErr *conn.Error
	switch {
	case errors.As(err, &refused):
		ev.Kind, ev.Refusal = flow.Rejected, x.rejection(refused)
	case errors.Is(err, engine.ErrNotFound):
		ev.Kind = flow.UnknownRequest
	case errors.Is(err, conn.ErrTimeout) && errors.As(err, &connErr) && connErr.Sent:
		ev.Kind = flow.TimedOut
	case errors.As(err, &connErr) && !connErr.Sent:
		ev.Kind = flow.Unsent
	case errors.As(err, &connErr):
		ev.Kind = flow.Disconnected
	default:
		ev.Kind = flow.Errored
	}
	x.reportAttempt(work.Result{Failed: refused == nil, Refused: refused != nil})
	x.d.Log.Debug().Err(err).Str("request", x.request.id).Str("server", x.vm.Name).Msg("engine: attempt failed")
	return ev
}

// rejection converts an engine's refusal to the refusal for the caller.
func (x *exchange) rejection(r *engine.Refused) *work.Refusal {
	if r.Code == "leaving" {
		x.d.Servers.MarkLeaving(x.vm.Name)
	}
	out := retryLater(refuse(work.CodeOverloaded, 503, "the backend server refused: "+r.Code))
	if r.Retry > 0 {
		out.Retry = r.Retry
	}
	return out
}

// reportAttempt completes the result of the current attempt and reports it.
func (x *exchange) reportAttempt(r work.Result) {
	if x.pool == nil {
		return
	}
	t := x.target()
	r.Server, r.Model, r.Version = x.vm.Name, t.Model, t.Version
	r.First, r.Total, r.Tokens = x.attempt.firstToken, x.d.Clock.Now().Sub(x.attempt.start), x.attempt.tokens
	x.d.reportResult(x.pool, r)
}

// backOff waits for the backoff before a retry.
func (x *exchange) backOff(c flow.Backoff) flow.Event {
	x.d.metrics.retries.Inc()
	s := retry.Backoff{Max: clock.Second}.Delay(c.Retry, x.d.random())
	time.Sleep(s.Std())
	if x.callerGone() {
		return flow.CallerGone{}
	}
	return flow.BackoffElapsed{}
}

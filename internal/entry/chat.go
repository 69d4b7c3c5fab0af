package entry

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/flow"
	"shallotrun/core/place"
	"shallotrun/core/queue"
	"shallotrun/core/route"
	"shallotrun/core/token"
	"shallotrun/core/work"
	"shallotrun/io/caller"
)

// Limits of one request to a model.
const (
	defaultMaxTokens = 4096 // maximum of max_tokens in a workspace without a limit
	maxRetries       = 2    // maximum number of retries on other servers; the retry budget of the pool bounds them too
	maxResumes       = 4    // maximum number of consecutive reconnections without a new token
)

// chat serves POST /v1/chat/completions.
func (d *Daemon) chat(ctx *fasthttp.RequestCtx, r *request) *work.Refusal {
	var x *exchange
	var refusal *work.Refusal
	if r.head.LastEventID != "" {
		x, refusal = d.resumeExchange(ctx.PostBody(), r)
	} else {
		x, refusal = d.newExchange(ctx.PostBody(), r)
	}
	if refusal != nil {
		return refusal
	}
	x.conn = ctx.Conn()
	d.register(x)
	d.metrics.requests.WithLabelValues("chat", r.rank.String()).Inc()
	x.event = flow.Start{}
	x.advance()
	if x.chunks != nil { // there is a token for the caller
		x.setHeaders(ctx)
		ctx.SetContentType("text/event-stream")
		ctx.Response.Header.Set("Cache-Control", "no-store")
		ctx.SetBodyStream(x, -1)
		return nil
	}
	for !x.flow.Done() {
		x.advance()
	}
	x.releaseAll()
	return x.answerBuffered(ctx)
}

// newExchange prepares the exchange of a new request.
func (d *Daemon) newExchange(body []byte, r *request) (*exchange, *work.Refusal) {
	chat, refusal := caller.ReadChat(body)
	if refusal != nil {
		return nil, refusal
	}
	if d.Bills.Full() {
		return nil, retryLater(refuse(work.CodeBillingFull, 503, "too many bills wait to be stored"))
	}
	limit := r.workspace.Limit
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if chat.MaxTokens > limit {
		return nil, refuse(work.CodeTooLarge, 413, "max_tokens exceeds the limit of the workspace")
	}
	if chat.MaxTokens > 0 {
		limit = chat.MaxTokens
	}
	x := &exchange{d: d, request: r, maxTokens: limit, prompt: chat.Prompt(), name: chat.Model, streaming: chat.Stream}
	if refusal := x.openSession(); refusal != nil {
		return nil, refusal
	}
	choice, refusal := r.table.Choose(x.routeRequest(), d.conditions())
	if refusal != nil {
		return nil, refusal
	}
	if refusal := r.setRank(choice.Rank); refusal != nil {
		return nil, refusal
	}
	x.setChoice(choice)
	x.billHolder = d.Bills.SelectHolder(r.id)
	x.flow = flow.Flow{
		Stages: flowStages(r.table, choice.Stages[x.firstStage:]), Deadline: r.deadline, MaxRetries: maxRetries, MaxResumes: maxResumes,
		Buffered: !x.streaming,
	}
	return x, nil
}

// resumeExchange prepares the exchange for the rest of a stream that this or another entry VM started.
func (d *Daemon) resumeExchange(body []byte, r *request) (*exchange, *work.Refusal) {
	t, n, err := d.signer.VerifyEvent(r.head.LastEventID)
	if err != nil || t.Workspace != r.workspace.Name {
		return nil, &work.Refusal{Code: work.CodeResumeInvalid, Status: 400, Ran: work.RunUnknown, Detail: "Last-Event-ID is not an event id of this workspace"}
	}
	if refusal := r.setRank(""); refusal != nil {
		return nil, refusal
	}
	r.id = t.Request
	x := &exchange{d: d, request: r, streaming: true, resumed: t, billHolder: t.Holder, priorStages: t.BillStages(), maxTokens: t.MaxTokens}
	x.vm = work.VM{Name: t.Server, Addr: t.Addr}
	x.flow = flow.Flow{
		Stages:  flowStages(r.table, []route.Target{{Model: t.Model, Version: t.Version}}),
		Resumed: true, Server: t.Server, LastToken: n, PriorAttempts: t.Attempt, MaxRetries: maxRetries, MaxResumes: maxResumes,
	}
	if chat, refusal := caller.ReadChat(body); refusal == nil && xxhash.Sum64String(chat.Prompt()) == t.PromptHash {
		x.prompt, x.flow.CanRestart = chat.Prompt(), true
	}
	d.takeOverBill(x)
	return x, nil
}

// takeOverBill transfers the billing of the request to this exchange.
func (d *Daemon) takeOverBill(x *exchange) {
	id := x.request.id
	d.mu.Lock()
	old := d.exchanges[id]
	d.mu.Unlock()
	if old != nil {
		// The caller reconnected to the same VM before the loss of its old connection was detected.
		old.takenOver.Store(true)
		_ = old.conn.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeOverTimeout.Std())
	defer cancel()
	if err := d.Bills.TakeOver(ctx, id, x.billHolder); err != nil {
		// The rest of the answer is served nevertheless, and the first VM keeps the bill. Only if the holder did not answer in
		// time, Save decides at the end which VM bills.
		d.Log.Info().Err(err).Str("request", id).Msg("caller: resumed without taking over the bill")
		x.unbilled = !errors.Is(err, context.DeadlineExceeded)
	}
}

// takeOverTimeout is the timeout for the answer of the holder of the bill of a resumed stream.
const takeOverTimeout = 300 * clock.Millisecond

// register adds an exchange to those in progress, so that it can be replaced if the caller reconnects to this VM.
func (d *Daemon) register(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges[x.request.id] = x
}

// unregister removes an exchange unless another one has replaced it.
func (d *Daemon) unregister(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exchanges[x.request.id] == x {
		delete(d.exchanges, x.request.id)
	}
}

// setChoice sets the cascade of a routing choice, if any, and its first stage.
func (x *exchange) setChoice(c route.Choice) {
	x.cascade, x.firstStage, x.sampled = c.Cascade, 0, false
	if c.Cascade != nil {
		x.beginCascade(c.Stages)
	}
}

// openSession verifies the session token of the caller or opens a new session.
func (x *exchange) openSession() *work.Refusal {
	switch text := x.request.head.Session; text {
	case "":
	case "new":
		x.session = &token.Session{ID: rand.Text(), Workspace: x.request.workspace.Name}
	default:
		s, err := x.d.signer.VerifySession(text)
		if err != nil || s.Workspace != x.request.workspace.Name || len(s.Pins) == 0 {
			return refuse(work.CodeSessionInvalid, 400, "Shallot-Session is neither new nor a token of this workspace")
		}
		x.session, x.pinned = s, true
	}
	return nil
}

// routeRequest returns the request to the routing table.
func (x *exchange) routeRequest() route.Request {
	a := route.Request{Workspace: x.request.workspace, Name: x.name, Random: x.d.random()}
	if x.pinned {
		a.Session = x.session
	}
	return a
}

// setHeaders sets the response headers of an answer.
func (x *exchange) setHeaders(ctx *fasthttp.RequestCtx) {
	h := &ctx.Response.Header
	h.Set("Shallot-Request", x.request.id)
	h.Set("Shallot-Model", x.target().String())
	if x.session == nil {
		return
	}
	if !x.pinned {
		// A new session is pinned to the version that answers its first request, also if a cascade chose it.
		t := x.target()
		x.session.Pins = []token.Pin{{Model: t.Model, Version: t.Version}}
	}
	text, err := x.d.signer.SignSession(x.session)
	if err != nil {
		x.d.Log.Error().Err(err).Msg("caller: signing the session token failed")
		return
	}
	h.Set("Shallot-Session", text)
}

// answerBuffered writes the whole answer after the flow ended.
func (x *exchange) answerBuffered(ctx *fasthttp.RequestCtx) *work.Refusal {
	switch c := x.final.(type) {
	case flow.Refuse:
		return c.Refusal
	case flow.Abort:
		return c.Refusal
	case flow.Drop:
		ctx.SetConnectionClose()
		return &work.Refusal{Code: work.CodeBackendFailed, Status: 503, Ran: work.RunUnknown, Detail: "another entry VM serves this request"}
	}
	x.setHeaders(ctx)
	if x.streaming {
		ctx.SetContentType("text/event-stream")
		ctx.SetBody(x.out)
		return nil
	}
	a := x.answer()
	if err := a.Write(ctx); err != nil {
		return &work.Refusal{Code: work.CodeBackendFailed, Status: 500, Ran: work.DidRun, Detail: "the answer could not be written"}
	}
	return nil
}

// queueRequest returns the queue item and the placement request for the current stage.
func (x *exchange) queueRequest(exclude []string) (queue.Item, place.Request) {
	t := x.target()
	item := queue.Item{
		ID: x.request.id, Rank: x.request.rank, Tenant: x.request.workspace.Name, Weight: x.request.workspace.Weight,
		Cost: x.maxTokens, Deadline: x.request.deadline, Arrived: x.request.arrived,
	}
	placement := place.Request{Model: t.Model, Version: t.Version, Tokens: len(x.prompt) / 4, Exclude: exclude}
	if x.session != nil {
		placement.Session = x.session.ID
	}
	if x.prompt != "" {
		placement.Prefix = xxhash.Sum64String(x.prompt[:min(len(x.prompt), prefixHashBytes)])
	}
	return item, placement
}

// callerGone reports whether the caller disconnected.
func (x *exchange) callerGone() bool { return x.conn != nil && caller.Disconnected(x.conn) }

// prefixHashBytes is the number of bytes of a prompt that are hashed to recognise a shared prefix.
const prefixHashBytes = 256

// flowStages converts targets to the stages of a flow.
func flowStages(t *route.Table, in []route.Target) []flow.Stage {
	var out []flow.Stage
	for _, v := range in {
		s := flow.Stage{Model: v.Model, Version: v.Version}
		if d := t.Version(v); d != nil {
			s.Deterministic = d.Exact
		}
		out = append(out, s)
	}
	return out
}

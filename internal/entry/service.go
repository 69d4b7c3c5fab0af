package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/place"
	"shallotrun/core/queue"
	"shallotrun/core/retry"
	"shallotrun/core/route"
	"shallotrun/core/work"
	"shallotrun/io/caller"
	"shallotrun/io/conn"
	"shallotrun/io/plain"
)

const (
	servicePrefix = "/services/"
	// serviceTimeout is the timeout for the answer of a plain service if the caller set no deadline.
	serviceTimeout = 30 * clock.Second
	// serviceCost is the cost of a plain call in fair queueing, in tokens.
	serviceCost = 16
)

// plainCall is one call to a plain service.
type plainCall struct {
	d          *Daemon
	request    *request
	service    *document.Service
	call       plain.Call
	repeatable bool
	claimed    bool
	attempts   int
	conn       net.Conn // of the caller
	billHolder string
	pool       *pool
}

// service serves ANY /services/NAME/....
func (d *Daemon) service(ctx *fasthttp.RequestCtx, r *request) *work.Refusal {
	c, refusal := d.newPlainCall(ctx, r)
	if refusal != nil {
		return refusal
	}
	d.metrics.requests.WithLabelValues("service", r.rank.String()).Inc()
	a, refusal := c.run()
	if refusal != nil {
		return refusal
	}
	return c.writeAnswer(ctx, a)
}

// newPlainCall checks a request to a plain service and prepares the call.
func (d *Daemon) newPlainCall(ctx *fasthttp.RequestCtx, r *request) (*plainCall, *work.Refusal) {
	uri := string(ctx.RequestURI())
	name, rest, _ := strings.Cut(strings.TrimPrefix(uri, servicePrefix), "/")
	path, _, _ := strings.Cut("/"+rest, "?")
	// Whether a call is repeatable depends on its path, so paths that the service may normalise to another one are refused.
	if !strings.HasPrefix(uri, servicePrefix) || strings.Contains(path, "..") || strings.Contains(path, "//") ||
		strings.Contains(path, "/./") || strings.ContainsAny(path, "%\\;") {
		return nil, refuse(work.CodeBadRequest, 400, "the path is not in its plain form")
	}
	s, refusal := r.table.Service(r.workspace, name)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := r.setRank(s.Rank); refusal != nil {
		return nil, refusal
	}
	if d.Bills.Full() {
		return nil, retryLater(refuse(work.CodeBillingFull, 503, "too many bills wait to be stored"))
	}
	method := string(ctx.Method())
	c := &plainCall{
		d: d, request: r, service: s, repeatable: route.Repeatable(s, method, path), conn: ctx.Conn(),
		call: plain.Call{
			Method: method, URI: "/" + rest, Headers: plain.PassedHeaders(&ctx.Request.Header), Body: ctx.PostBody(), Request: r.id,
		},
	}
	if c.repeatable { // the slower of two hedged attempts may still use the body after fasthttp has reused its buffer
		c.call.Body = bytes.Clone(c.call.Body)
	}
	return c, nil
}

// serverAttempt is one attempt at one server.
type serverAttempt struct {
	vm     work.VM
	ticket *ticket
	call   plain.Call
}

// run sends the call, and retries it if that is safe and the deadline and the retry budget allow it.
func (c *plainCall) run() (*plain.Answer, *work.Refusal) {
	c.billHolder = c.d.Bills.SelectHolder(c.request.id)
	var exclude []string
	mayHaveRun := false // an earlier attempt may have run
	for n := 1; ; n++ {
		o := c.try(exclude)
		if o.refusal == nil {
			return o.answer, nil
		}
		if o.refusal.Ran != work.NotRun {
			mayHaveRun = true
		}
		// A call that certainly did not run may be sent to another server. A call that is neither repeatable nor claimed is
		// only retried if the connection could not be opened.
		retryable := o.attempt != nil && (c.repeatable || o.refusal.Ran == work.NotRun && (c.claimed || o.refusal.Code == work.CodeNoServer))
		now := c.d.Clock.Now()
		pause := retry.Backoff{Max: clock.Second}.Delay(n, c.d.random())
		if !retryable || n > maxRetries || !retry.FitsDeadline(now, pause, 0, c.request.deadline) || !c.pool.spendRetry() {
			if mayHaveRun {
				o.refusal.Ran = work.RunUnknown
			}
			return nil, o.refusal
		}
		exclude = append(exclude, o.attempt.vm.Name)
		c.d.metrics.retries.Inc()
		time.Sleep(pause.Std())
	}
}

// try waits for a server and sends the call to it. A repeatable call is hedged.
func (c *plainCall) try(exclude []string) outcome {
	c.pool = c.d.pool(c.service.Pool, c.service.Slots)
	attempt, refusal := c.acquire(exclude)
	if refusal != nil {
		return outcome{refusal: refusal}
	}
	if refusal := c.check(); refusal != nil {
		c.pool.release(attempt.ticket, 0)
		return outcome{refusal: refusal}
	}
	if c.attempts++; c.attempts == 1 {
		c.pool.recordAttempt()
	}
	if c.repeatable {
		return c.hedge(attempt, exclude)
	}
	return c.send(attempt)
}

// acquire queues the call and waits for a server.
func (c *plainCall) acquire(exclude []string) (*serverAttempt, *work.Refusal) {
	span := c.d.hopSpan(c.request, spanQueue)
	defer span.End()
	t, refusal := c.pool.enqueue(c.queueItem(c.request.id), place.Request{Exclude: exclude})
	if refusal != nil {
		return nil, refusal
	}
	g, gone := c.pool.wait(t, func() bool { return caller.Disconnected(c.conn) })
	switch {
	case gone:
		return nil, refuse(work.CodeDeadline, 504, "the caller went away")
	case g.refusal != nil:
		return nil, g.refusal
	}
	return &serverAttempt{vm: g.server, ticket: t, call: c.call}, nil
}

func (c *plainCall) queueItem(id string) queue.Item {
	return queue.Item{
		ID: id, Rank: c.request.rank, Tenant: c.request.workspace.Name, Weight: c.request.workspace.Weight,
		Cost: serviceCost, Deadline: c.request.deadline, Arrived: c.request.arrived,
	}
}

// check decides by the document that is in force now whether the call may be sent, and claims its idempotency key.
func (c *plainCall) check() *work.Refusal {
	span := c.d.hopSpan(c.request, spanDispatch)
	defer span.End()
	if refusal := c.d.waitFresh(); refusal != nil {
		return refusal
	}
	t := c.d.table()
	if _, refusal := t.Service(t.Workspace(c.request.workspace.Name), c.service.Name); refusal != nil {
		return refusal
	}
	return c.claim()
}

// claim claims the idempotency key of a call, so that no other entry VM sends a call with this key.
func (c *plainCall) claim() *work.Refusal {
	if c.repeatable || c.request.head.IdempotencyKey == "" || c.claimed {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.request.timeLeft(c.d.Clock.Now(), serviceTimeout).Std())
	defer cancel()
	err := c.d.Claims.Claim(ctx, c.request.workspace.Name, c.request.head.IdempotencyKey, c.request.id)
	if err == nil {
		c.claimed = true
		return nil
	}
	var r *work.Refusal
	if errors.As(err, &r) {
		return r
	}
	return retryLater(refuse(work.CodeClaimUnavailable, 503, "the key could not be claimed"))
}

// send sends the call once and releases the server's slot.
func (c *plainCall) send(attempt *serverAttempt) outcome {
	defer c.pool.release(attempt.ticket, serviceCost)
	span := c.d.hopSpan(c.request, spanBackend)
	defer span.End()
	setAttempt(span, c.service.Name, "", attempt.vm.Name, 0)
	attempt.call.Trace = c.request.traceparent(span)
	start := c.d.Clock.Now()
	attempt.call.Left = c.request.timeLeft(start, serviceTimeout)
	a, err := c.d.plains.Do(attempt.vm.Addr, &attempt.call)
	res := work.Result{Server: attempt.vm.Name, Total: c.d.Clock.Now().Sub(start)}
	var refused *plain.Refused
	switch {
	case err == nil:
		res.First = res.Total
		c.pool.observeAnswerTime(res.First)
	case errors.As(err, &refused):
		res.Refused = true
		if refused.Code == "leaving" {
			c.d.Servers.MarkLeaving(attempt.vm.Name)
		}
	default:
		res.Failed = true
		setError(span, err.Error())
	}
	c.d.reportResult(c.pool, res)
	return outcome{attempt: attempt, answer: a, refusal: callRefusal(err, refused)}
}

// callRefusal returns the refusal for a failed call. Its field Ran tells whether the call may have run.
func callRefusal(err error, refused *plain.Refused) *work.Refusal {
	var connErr *conn.Error
	switch {
	case err == nil:
		return nil
	case refused != nil:
		return retryLater(refuse(work.CodeOverloaded, 503, "the service refused: "+refused.Code))
	case errors.As(err, &connErr) && !connErr.Sent:
		return retryLater(refuse(work.CodeNoServer, 503, "the backend server could not be reached"))
	case errors.Is(err, conn.ErrTimeout):
		return &work.Refusal{Code: work.CodeDeadline, Status: 504, Ran: work.RunUnknown, Detail: "no answer came in time"}
	}
	return &work.Refusal{Code: work.CodeBackendFailed, Status: 502, Ran: work.RunUnknown, Detail: "no answer came from the backend server"}
}

// writeAnswer sends the service's answer to the caller.
func (c *plainCall) writeAnswer(ctx *fasthttp.RequestCtx, a *plain.Answer) *work.Refusal {
	ctx.SetStatusCode(a.Status)
	a.CopyHeader(&ctx.Response.Header)
	ctx.Response.Header.Set("Shallot-Request", c.request.id)
	b := &answerBody{call: c, answer: a}
	if a.Body == nil {
		b.finish()
		ctx.SetBody(a.BufferedBody)
		return nil
	}
	n := a.Header.ContentLength()
	ctx.SetBodyStream(b, max(n, -1))
	return nil
}

// answerBody is the body of a service's answer. It saves the bill before it passes on the end of the body.
type answerBody struct {
	call      *plainCall
	answer    *plain.Answer
	billSaved bool
	complete  bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.answer.Body.Read(p)
	if err == nil {
		return n, nil
	}
	b.saveBill()
	if errors.Is(err, io.EOF) {
		b.complete = true
		return n, io.EOF
	}
	return n, conn.Cause(err)
}

// Close ends the answer, also if the caller disconnected before its end.
func (b *answerBody) Close() error {
	b.finish()
	b.call.d.finishRequest(b.call.request)
	return nil
}

func (b *answerBody) finish() {
	b.saveBill()
	b.answer.Close(b.complete || b.answer.Body == nil)
}

func (b *answerBody) saveBill() {
	if b.billSaved {
		return
	}
	b.billSaved = true
	c := b.call
	err := c.d.Bills.Save(context.Background(), work.Bill{
		Request: c.request.id, Workspace: c.request.workspace.Name, At: c.d.Clock.Wall(),
		Stages: []work.Stage{{Service: c.service.Name, Calls: 1}},
	}, c.billHolder)
	if err != nil {
		c.d.Log.Warn().Err(err).Str("request", c.request.id).Msg("caller: saving the bill failed")
	}
}

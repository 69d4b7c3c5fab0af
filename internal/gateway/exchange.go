package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/capacity"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/models"
	"shallotrun/core/place"
	"shallotrun/core/quarantine"
	"shallotrun/core/work"
	"shallotrun/io/conn"
)

// exchange is one request from its arrival to its final answer. It runs on the goroutine of the caller's connection. The fields
// under mu are also used by the goroutine that watches all open requests.
type exchange struct {
	g          *Gateway
	request    *Request
	route      *catalog.Route
	workspace  *catalog.Workspace // nil for none
	service    string
	spec       *catalog.Service // nil if the configuration does not describe the service
	rank       int
	models     []models.Model // models that the gateway chooses from, smallest first, empty if the route lists none
	modelIndex int            // index of the chosen model in models
	escalated  bool           // an answer of a smaller model was dropped before
	size       models.Size
	model      string
	arrived    clock.Time
	deadline   clock.Time // the final answer is due by then

	pool          *pool
	server        backend.Server   // of the current attempt
	headArrived   bool             // the head of an answer arrived in the current attempt
	firstArrived  bool             // the first event of a stream, or all of another answer, arrived in the current attempt
	pendingTokens int              // prompt tokens that the attempt adds to the server, weighted as if for the largest model
	tokensHeld    int              // tokens that the attempt holds in the server's memory or will hold
	learning      capacity.Token   // of the current attempt, 0 if the capacity is not learned
	backlog       float64          // mean backlog of the servers when the attempt was placed, in milliseconds
	usageAge      clock.Span       // age of the other VMs' usage at that time, unknownAge if there was none
	attemptStart  clock.Time       // start of the current attempt
	sentAt        clock.Time       // the same by Clock.Boot
	timeToFirst   clock.Span       // time from attemptStart until firstArrived was set, 0 before
	events        int              // events received in the current attempt
	overdue       atomic.Bool      // the current attempt was counted as late before its first answer
	reported      bool             // the result of the current attempt was reported to the rollout order of the service
	attempts      int              // all attempts, whatever their outcome
	usedAttempts  int              // attempts that count against the route's limit
	failedServers []string         // servers at which an attempt failed
	notRunServers []string         // those of failedServers that did not run the request
	exhausted     string           // why no further attempt was made, for the log
	mayHaveRun    bool             // an attempt may have run
	fallback      *Buffered        // error answer of a server, sent to the caller if no later attempt succeeds
	lastEvent     int64            // identifier of the last event that the caller has or that a Stream holds for it
	passedEvents  int              // events of all attempts that were added to the caller's stream
	identityHash  uint64           // result of identity, 0 before
	bodyHash      uint64           // result of bodyIdentity, 0 before
	tail          *quarantine.Tail // result of promptTail, nil before
	attemptProven bool             // the current attempt shows that the request does not end servers
	proven        bool             // an attempt shows it
	trial         bool             // sent to find out whether servers still end under requests like this one
	trialBroke    bool             // a connection broke under the trial, so the server may have ended
	firstCrash    *crashAt         // first server that ended under this request, until it is recorded
	abort         conn.Abort
	largeEvent    *holder     // of the memory of the current event, nil if none is reserved
	unreadEnded   atomic.Bool // the caller's connection was closed because it reads too slowly

	ctx         context.Context // context of the request's span
	span        trace.Span      // span of the request, nil without tracing
	attemptSpan trace.Span      // span of the current attempt, nil between attempts and without tracing

	mu         sync.Mutex
	wait       waitState
	endCause   endCause
	cancel     context.CancelFunc // ends the wait for body memory, nil while there is none
	retryTaken bool               // the next attempt was already taken from the retry budget when the last one was aborted
}

// waitState tells the watching goroutine what the exchange waits for.
type waitState struct {
	active        bool       // the exchange waits for bytes of a backend server
	canRetry      bool       // another attempt is within the route's limit
	hasEvents     bool       // events of a stream arrived in the current attempt
	since         clock.Time // start of the wait
	giveUpTime    clock.Time // time at which the attempt is aborted for another one, 0 for never
	pool          *pool
	server        backend.Server
	overdueResult canary.Result // reported if the first answer is overdue
}

// Reasons for which an attempt was aborted, by the watching goroutine or because the caller closed its connection.
const (
	causeNone endCause = iota
	causeCallerGone
	causeDeadline
	causeSlow
	causeServerSilent
)

type endCause uint8

const (
	// unknownAge is the usageAge of an attempt that was placed without the other VMs' usage.
	unknownAge clock.Span = -1
	// maxAttempts limits all attempts of a request, including those that never reached a server.
	maxAttempts = 6
	// minTimeLeft is the time to the deadline below which no attempt is started: its answer would hardly arrive in time.
	minTimeLeft = 15 * clock.Millisecond
)

// serve sends the request until there is a final answer.
func (x *exchange) serve() Answer {
	x.pool = x.g.pool(x.service)
	x.chooseModel()
	for {
		reply, refusal := x.send()
		if refusal != nil {
			return x.finish(refusal)
		}
		if x.escalate(reply) {
			x.dropAnswer(reply)
			continue
		}
		a, fault := x.readAnswer(reply)
		if fault == nil {
			return a
		}
		if refusal := x.attemptFailed(fault); refusal != nil {
			return x.finish(refusal)
		}
	}
}

// finish ends the request with an earlier error answer of a server if there is one, since it tells the caller more than a
// refusal, and with the refusal otherwise.
func (x *exchange) finish(refusal *work.Refusal) Answer {
	if x.fallback != nil && x.causeOfEnd() != causeCallerGone {
		w := x.fallback
		x.fallback = nil
		x.recordEnd(nil)
		return *w
	}
	x.recordEnd(refusal)
	return Refused{*refusal}
}

// send sends the request, with retries, and returns the head of the first answer.
func (x *exchange) send() (*Reply, *work.Refusal) {
	for {
		if refusal := x.startAttempt(); refusal != nil {
			return nil, refusal
		}
		reply, err := x.g.Backend.Send(x.newAttempt())
		if err == nil {
			x.headArrived = true
			x.recordNotice(reply.Notice)
			return reply, nil
		}
		var f *Fault
		if !errors.As(err, &f) {
			f = &Fault{Kind: OutcomeUnknown, Err: err}
		}
		x.recordNotice(f.Notice)
		if refusal := x.attemptFailed(f); refusal != nil {
			return nil, refusal
		}
	}
}

// recordNotice records what the answer to the current attempt says about its server.
func (x *exchange) recordNotice(n Notice) {
	x.g.recordNotice(x.sentAt, x.server, n, x.request.ID)
}

// startAttempt checks that the request can still be sent, selects a server and resets the state of the attempt.
func (x *exchange) startAttempt() *work.Refusal {
	now := x.g.Clock.Now()
	if x.timeLeft(now) < minTimeLeft {
		return x.giveUp(work.CodeDeadline, "the time is over")
	}
	if why := x.keyFault(); why != "" {
		return x.giveUp(work.CodeStale, why)
	}
	if refusal := x.checkParts(now); refusal != nil {
		return refusal
	}
	server, err := x.pool.pick(now, x)
	if errors.Is(err, errLimited) {
		return x.giveUpForLimits()
	}
	var paused *pausedError
	if errors.As(err, &paused) {
		return x.giveUpForPause(paused)
	}
	if err != nil {
		return x.giveUp(work.CodeNoServer, err.Error())
	}
	if x.attempts == 0 {
		x.pool.countRequest(now)
	}
	x.attempts++
	x.g.attemptStarts(server)
	x.g.metrics.attempts.Inc()
	x.server, x.attemptStart, x.reported, x.timeToFirst, x.events = server, now, false, 0, 0
	x.headArrived, x.firstArrived, x.attemptProven, x.sentAt = false, false, false, x.g.Clock.Boot()
	x.overdue.Store(false)
	x.startWaiting(x.giveUpTime(now))
	return nil
}

// keyFault returns why the request's key does not allow another attempt now, "" if it does. A key can be revoked, or move to another
// workspace, during a request.
func (x *exchange) keyFault() string {
	if x.workspace == nil {
		return ""
	}
	if !x.g.State.Fresh() {
		return "whether the key is still valid cannot be proved now"
	}
	w := x.g.State.Table().Workspace(x.request.Key)
	switch {
	case w == nil:
		return "the key was taken away"
	case w.Name != x.workspace.Name:
		return "the key has moved to another workspace"
	}
	return ""
}

// placeRequest returns the placement request. It has a prefix only on a route with cache affinity.
func (x *exchange) placeRequest() place.Request {
	req := place.Request{Model: "", Memory: x.memoryTokens(), Exclude: x.failedServers}
	if !x.route.Affine || len(x.request.Parts) < 2 {
		return req
	}
	shared := x.request.Parts[:len(x.request.Parts)-1]
	req.Prefix = xxhash.Sum64String(shared[len(shared)-1].ID)
	for _, p := range shared {
		req.Tokens += p.Tokens
	}
	return req
}

// memoryTokens returns the tokens that the request will hold in a server's memory when it ends, 0 if that is not known. Parts that several
// requests share count for each of them, as what other VMs' requests share is not known: the sum is too high rather than too low.
func (x *exchange) memoryTokens() int {
	if x.spec == nil || x.spec.Engine == nil {
		return 0
	}
	r := x.request
	answer := r.MaxTokens
	if r.ExpectedTokens > 0 && r.ExpectedTokens < answer {
		answer = r.ExpectedTokens
	}
	return max(r.PromptTokens, 0) + max(answer, 0)
}

// newAttempt returns the attempt at the selected server and starts its span.
func (x *exchange) newAttempt() *Attempt {
	return &Attempt{
		Request: x.request, Server: x.server, Model: x.model, Urgency: x.rank, TimeLeft: x.timeLeft(x.g.Clock.Now()),
		Trace: x.startAttemptSpan(), LastEventID: x.lastEvent, NewConn: x.attempts > 1, Stream: x.route.Kind == catalog.Streaming,
		Workspace: x.workspaceName(), Abort: &x.abort, Reserve: x.reserve,
	}
}

// giveUpTime returns the time at which an attempt of an idempotent request is aborted for another one, 0 for never.
func (x *exchange) giveUpTime(now clock.Time) clock.Time {
	if x.route.Kind != catalog.Safe || x.route.Objective == 0 || x.usedAttempts+1 >= x.route.Attempts {
		return 0
	}
	return now.Add(min(2*x.route.Objective, x.timeLeft(now)/2))
}

// readAnswer reads the rest of an answer: the whole body, or a stream up to its first event. If the server answered with an
// error and the request is repeatable, it stores that answer as the fallback and makes further attempts.
func (x *exchange) readAnswer(reply *Reply) (Answer, *Fault) {
	if reply.Events != nil {
		return x.openStream(reply)
	}
	w, err := x.readBody(reply)
	if err != nil {
		reply.Close(false)
		return nil, &Fault{Kind: OutcomeUnknown, Err: err}
	}
	reply.Close(true)
	x.recordStart()
	x.firstAnswer()
	x.attemptEnded(work.Result{Failed: reply.Status >= 500}, reply.Status >= 500)
	if reply.Status >= 500 && x.repeatable() {
		x.setFallback(w)
		x.usedAttempts++
		x.mayHaveRun = true
		x.failedServers = append(x.failedServers, x.server.ID)
		if x.takeRetry() {
			reply, refusal := x.send()
			if refusal != nil {
				return x.finish(refusal), nil
			}
			return x.readAnswer(reply)
		}
	}
	if x.fallback == w {
		x.fallback = nil
	}
	x.recordEnd(nil)
	return *w, nil
}

// setFallback stores an error answer of a server in place of an earlier one.
func (x *exchange) setFallback(w *Buffered) {
	if x.fallback != nil {
		x.fallback.Release()
	}
	x.fallback = w
}

// dropAnswer ends an attempt whose answer is not sent to the caller because of the model's low confidence.
func (x *exchange) dropAnswer(reply *Reply) {
	x.firstAnswer()
	reply.Close(false)
	x.g.metrics.dropped.Inc()
	x.g.Log.Info().Str("request", x.request.ID).Str("server", x.server.ID).Int("confidence", reply.Confidence).
		Str("next", x.model).Int64("ms", int64(x.timeToFirst)).Msg("gateway: answer dropped because of low confidence")
	x.checkAfterDrop()
	x.usedAttempts++
	x.mayHaveRun = true
	x.attemptEnded(work.Result{}, false)
}

package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/internal/standin/ledger"
)

// waitCommentInterval is the interval of the comments sent before the first token. Callers treat a connection as silent if four
// of them are missing.
const waitCommentInterval = 100 * time.Millisecond

// call is the body of POST /v1/generate and POST /v1/cancel.
type call struct {
	Request  string          `json:"request"`
	Attempt  json.RawMessage `json:"attempt"` // number or string, used in the ledger only
	Model    string          `json:"model"`
	Version  string          `json:"version"`
	Prompt   string          `json:"prompt"`
	Limit    int             `json:"limit"`
	Priority int             `json:"priority"`
	From     int             `json:"from"`
	Session  string          `json:"session"`
	Attach   bool            `json:"attach"` // join an existing generation only; 404 when there is none
}

// Handler serves the engine's port.
func (e *Engine) Handler(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/v1/generate":
		e.generate(ctx)
	case "/v1/cancel":
		e.cancel(ctx)
	case "/v1/load":
		e.Ledger.Count("load")
		e.mu.Lock()
		l := e.report
		e.mu.Unlock()
		ledger.Reply(ctx, fasthttp.StatusOK, l)
	case "/v1/events":
		e.Ledger.Count("events")
		e.mu.Lock()
		evs := e.cache.since(uint64(ctx.QueryArgs().GetUintOrZero("since")), e.clock.Now())
		e.mu.Unlock()
		ledger.Reply(ctx, fasthttp.StatusOK, evs)
	case "/v1/order":
		e.order(ctx)
	default:
		ledger.Fail(ctx, fasthttp.StatusNotFound, "not-found", path)
	}
}

func (e *Engine) generate(ctx *fasthttp.RequestCtx) {
	var c call
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil || c.Request == "" {
		ledger.Fail(ctx, fasthttp.StatusBadRequest, "bad-request", fmt.Sprint(err))
		return
	}
	entry := ledger.Entry{
		Kind: "generate", Request: c.Request, Attempt: strings.Trim(string(c.Attempt), `"`),
		Model: c.Model, Version: c.Version, Session: c.Session, Name: e.Name, Key: PromptID(c.Prompt),
	}
	if e.Ledger.Faults.Applies("close") {
		entry.Outcome, entry.Code = "refused", "close"
		e.Ledger.Add(entry)
		ctx.Conn().Close()
		return
	}
	g, outcome, status, code := e.accept(c)
	entry.Outcome, entry.Code = outcome, code
	e.Ledger.Add(entry)
	if g == nil {
		ledger.Reply(ctx, status, map[string]any{"code": code, "ran": outcome == "failed", "leaving": code == "leaving"})
		return
	}
	ctx.Response.Header.Set("Shallot-Request", c.Request)
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.stream(w, conn, g, c.From) })
}

// accept joins or starts a generation. If it does neither, g is nil and the outcome, the HTTP status and the code are set.
func (e *Engine) accept(c call) (g *generation, outcome string, status int, code string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := key(c.Request, c.Model, c.Version)
	if g, ok := e.generations[k]; ok {
		return g, "attach", 0, ""
	}
	name := c.Model + "@" + c.Version
	_, leaving := e.Ledger.Faults.Active("leaving")
	switch {
	case c.Attach:
		return nil, "refused", fasthttp.StatusNotFound, "gone"
	case leaving:
		return nil, "refused", fasthttp.StatusServiceUnavailable, "leaving"
	case e.Ledger.Faults.Applies("refuse"):
		return nil, "refused", fasthttp.StatusServiceUnavailable, "refused"
	case !e.loaded[name]:
		return nil, "refused", fasthttp.StatusConflict, "model"
	case len(e.waiting) >= e.QueueLimit:
		return nil, "refused", fasthttp.StatusTooManyRequests, "full"
	case e.fails(name) || e.Ledger.Faults.Applies("error"):
		return nil, "failed", fasthttp.StatusInternalServerError, "failed"
	}
	g = &generation{
		request: c.Request, model: c.Model, version: c.Version, prompt: c.Prompt, session: c.Session,
		priority: c.Priority, promptTokens: PromptTokens(c.Prompt), changed: make(chan struct{}),
	}
	g.length, g.endReason = Length(c.Model, c.Version, c.Prompt, c.Limit)
	e.generations[k] = g
	e.waiting = append(e.waiting, g)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g, "run", 0, ""
}

// fails reports whether a call for the version fails by the fault "bad". The value of the fault may end in "=P" with a
// probability.
func (e *Engine) fails(name string) bool {
	text := e.Ledger.Faults.Text("bad")
	which, part, found := strings.Cut(text, "=")
	if which != name || text == "" {
		return false
	}
	var p float64
	if !found {
		return true
	}
	if _, err := fmt.Sscanf(part, "%g", &p); err != nil {
		return true
	}
	return e.Ledger.Faults.Random() < p
}

// stream sends the tokens after number from, then the end event. After a crash it closes the connection instead.
func (e *Engine) stream(w *bufio.Writer, conn net.Conn, g *generation, from int) {
	tick := time.NewTicker(waitCommentInterval)
	defer tick.Stop()
	for n := from; ; {
		e.mu.Lock()
		available, outcome, changed := g.tokens, g.outcome, g.changed
		e.mu.Unlock()
		for ; n < available; n++ {
			e.sendToken(w, g, n+1)
		}
		switch outcome {
		case outcomeCrashed:
			conn.Close()
			return
		case outcomeDone, outcomeCancelled:
			reason := g.endReason
			if outcome == outcomeCancelled {
				reason = "cancel"
			}
			fmt.Fprintf(w, "event: end\ndata: {\"tokens\":%d,\"reason\":%q,\"prompt\":%d}\n\n", available, reason, g.promptTokens)
			w.Flush()
			return
		}
		if w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-tick.C:
			if available == 0 {
				fmt.Fprint(w, ": wait\n\n")
			}
		}
	}
}

// sendToken sends token n. With the fault "jumble" it may send nothing, or the token before n again first.
func (e *Engine) sendToken(w io.Writer, g *generation, n int) {
	if e.Ledger.Faults.Applies("jumble") {
		if n == 1 || e.Ledger.Faults.Random() < 0.5 {
			return
		}
		e.sendEvent(w, g, n-1)
	}
	e.sendEvent(w, g, n)
}

func (e *Engine) sendEvent(w io.Writer, g *generation, n int) {
	b, _ := json.Marshal(map[string]string{"text": e.text(g, n)})
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b)
}

func (e *Engine) cancel(ctx *fasthttp.RequestCtx) {
	var c call
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ledger.Fail(ctx, fasthttp.StatusBadRequest, "bad-request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, outcome := 0, "unknown"
	for k, g := range e.generations {
		if !strings.HasPrefix(k, c.Request+"\x00") {
			continue
		}
		e.finish(g, outcomeCancelled)
		tokens, outcome = g.tokens, g.outcome
	}
	e.Ledger.Add(ledger.Entry{Kind: "cancel", Request: c.Request, Outcome: outcome, Tokens: tokens, Name: e.Name})
	ledger.Reply(ctx, fasthttp.StatusOK, map[string]any{"request": c.Request, "tokens": tokens, "outcome": outcome})
}

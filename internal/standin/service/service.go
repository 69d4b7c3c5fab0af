package service

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
)

// Faults are the names of the faults of a plain service.
var Faults = []string{"close", "drop", "delay", "refuse", "silent", "leaving"}

// Service is one replica of a plain service. Set the exported fields before use.
type Service struct {
	Name     string
	Ledger   *ledger.Ledger
	TagBase  uint64        // tag numbers start after it; each replica has its own range
	CallTime time.Duration // time that a call takes

	mu   sync.Mutex
	tags map[uint64]Tag
	next uint64
}

// Tag is the state of a tag, as the replies contain it.
type Tag struct {
	Number uint64 `json:"number"`
	Item   string `json:"item"`
	State  string `json:"state"`
}

type requestBody struct {
	Item  string `json:"item"`
	State string `json:"state"`
}

// Handler serves the service's port.
func (s *Service) Handler(ctx *fasthttp.RequestCtx) {
	f := &s.Ledger.Faults
	var b requestBody
	if len(ctx.PostBody()) > 0 {
		if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
			ledger.Fail(ctx, fasthttp.StatusBadRequest, "bad-request", err.Error())
			return
		}
	}
	e := ledger.Entry{
		Name: b.Item, Key: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Request: string(ctx.Request.Header.Peek("Shallot-Request")),
	}
	path := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	if e.Kind = kindOf(string(ctx.Method()), path); e.Kind == "" {
		ledger.Fail(ctx, fasthttp.StatusNotFound, "not-found", string(ctx.Path()))
		return
	}
	if _, leaving := f.Active("leaving"); leaving || f.Applies("refuse") {
		e.Outcome = "refused"
		s.Ledger.Add(e)
		code := "refused"
		if leaving {
			code = "leaving"
		}
		ledger.Reply(ctx, fasthttp.StatusServiceUnavailable, map[string]any{"code": code, "ran": false})
		return
	}
	if f.Applies("drop") {
		e.Outcome, e.Code = "refused", "drop"
		s.Ledger.Add(e)
		ctx.Conn().Close()
		return
	}
	time.Sleep(s.CallTime)
	s.run(ctx, &e, path, b)
	e.Outcome = "ran"
	s.Ledger.Add(e)
	if d := f.Number("delay"); d > 0 {
		time.Sleep(clock.Span(d).Std())
	}
	if f.Applies("close") {
		ctx.Conn().Close()
	}
}

func (s *Service) run(ctx *fasthttp.RequestCtx, e *ledger.Entry, path []string, b requestBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tags == nil {
		s.tags = map[uint64]Tag{}
	}
	var n uint64
	if len(path) > 1 {
		n, _ = strconv.ParseUint(path[1], 10, 64)
	}
	t, known := s.tags[n]
	switch e.Kind {
	case "tag":
		s.next++
		t = Tag{Number: s.TagBase + s.next, Item: b.Item, State: "issued"}
		s.tags[t.Number] = t
		ledger.Reply(ctx, fasthttp.StatusCreated, t)
	case "dispatch":
		s.next++
		t = Tag{Number: s.TagBase + s.next, Item: b.Item, State: "dispatched"}
		ledger.Reply(ctx, fasthttp.StatusCreated, t)
	case "state":
		t = Tag{Number: n, Item: b.Item, State: b.State}
		s.tags[n] = t
		ledger.Reply(ctx, fasthttp.StatusOK, t)
	case "lookup":
		if !known {
			t = Tag{Number: n, State: "unknown"}
		}
		ledger.Reply(ctx, fasthttp.StatusOK, t)
	}
	e.Number = t.Number
}

// kindOf returns the ledger's kind of a call, "" for an unknown path.
func kindOf(method string, path []string) string {
	switch {
	case method == "POST" && len(path) == 1 && path[0] == "tags":
		return "tag"
	case method == "POST" && len(path) == 1 && path[0] == "dispatch":
		return "dispatch"
	case method == "GET" && len(path) == 2 && path[0] == "tags":
		return "lookup"
	case method == "PUT" && len(path) == 3 && path[0] == "tags" && path[2] == "state":
		return "state"
	}
	return ""
}

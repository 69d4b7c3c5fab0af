package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/internal/standin/ledger"
)

// order is the body of POST /v1/order.
type order struct {
	Fence   uint64 `json:"fence"`
	ID      string `json:"id"`
	Action  string `json:"action"` // load, unload or role
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

type orderReply struct {
	ID   string `json:"id"`
	Done bool   `json:"done"`
	Code string `json:"code,omitempty"`
}

// order executes an order. An order ID that was executed before gets the same reply again.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.ID == "" {
		ledger.Fail(ctx, fasthttp.StatusBadRequest, "bad-request", "an order needs an id")
		return
	}
	entry := ledger.Entry{
		Kind: "order", Key: o.ID, Code: o.Action, Number: o.Fence, Model: o.Model, Version: o.Version, Name: e.Name,
	}
	e.mu.Lock()
	r, executed := e.orders[o.ID]
	stale := o.Fence < e.fence
	if !stale {
		e.fence = o.Fence
	}
	e.mu.Unlock()
	switch {
	case stale && e.Fenced:
		entry.Outcome = "refused"
		e.Ledger.Add(entry)
		ledger.Reply(ctx, fasthttp.StatusConflict, map[string]any{"code": "fence", "ran": false})
		return
	case executed:
		entry.Outcome = "repeated"
		e.Ledger.Add(entry)
		ledger.Reply(ctx, fasthttp.StatusOK, r)
		return
	}
	r = e.execute(o)
	entry.Outcome = "done"
	if !r.Done {
		entry.Outcome = "failed"
	}
	e.Ledger.Add(entry)
	ledger.Reply(ctx, fasthttp.StatusOK, r)
}

func (e *Engine) execute(o order) orderReply {
	name := o.Model + "@" + o.Version
	r := orderReply{ID: o.ID, Done: true}
	if o.Action == "load" {
		time.Sleep(e.LoadTime)
		if e.FetchWeights != nil {
			if err := e.FetchWeights(name); err != nil {
				return orderReply{ID: o.ID, Code: "weights"}
			}
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Action {
	case "load":
		e.loaded[name] = true
	case "unload":
		delete(e.loaded, name)
	case "role":
		e.role = o.Role
	default:
		r.Done, r.Code = false, "action"
	}
	e.orders[o.ID] = r
	return r
}

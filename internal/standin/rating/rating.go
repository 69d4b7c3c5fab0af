package rating

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
)

// Faults are the names of the faults of the rating service.
var Faults = []string{"delay", "down", "silent"}

// Rating is the stand-in. Set the exported fields before use.
type Rating struct {
	Ledger  *ledger.Ledger
	Quality map[string]int // percent of the prompts that a model satisfies; 90 for others
}

type rateRequest struct {
	Request string `json:"request"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// Handler serves the rating port.
func (r *Rating) Handler(ctx *fasthttp.RequestCtx) {
	f := &r.Ledger.Faults
	if d := f.Number("delay"); d > 0 {
		time.Sleep(clock.Span(d).Std())
	}
	if f.Applies("down") {
		ledger.Fail(ctx, fasthttp.StatusServiceUnavailable, "down", "no ratings")
		return
	}
	var q rateRequest
	if err := json.Unmarshal(ctx.PostBody(), &q); err != nil || string(ctx.Path()) != "/rate" {
		ledger.Fail(ctx, fasthttp.StatusBadRequest, "bad-request", "want POST /rate with a JSON body")
		return
	}
	n := Score(r.quality(q.Model), q.Model, q.Prompt)
	r.Ledger.Add(ledger.Entry{Kind: "rate", Request: q.Request, Model: q.Model, Version: q.Version, Number: uint64(n)})
	ledger.Reply(ctx, fasthttp.StatusOK, map[string]int{"rating": n})
}

// Score returns the rating of the answer of a model of a given quality, in percent, to a prompt.
func Score(quality int, model, prompt string) int {
	difficulty := int(xxhash.Sum64String(prompt) % 100)
	noise := int(xxhash.Sum64String(model+"\x00"+prompt) % 26)
	if difficulty < quality {
		return 75 + noise
	}
	return 29 + noise
}

func (r *Rating) quality(model string) int {
	if q, ok := r.Quality[model]; ok {
		return q
	}
	return 90
}

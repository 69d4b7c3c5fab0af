package weights

import (
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
)

// Faults are the names of the faults of the weight store.
var Faults = []string{"delay", "down", "silent"}

// Weights is the stand-in. Set the exported fields before use.
type Weights struct {
	Ledger    *ledger.Ledger
	Limit     *rate.Limiter
	FetchTime time.Duration // time that a fetch takes
}

// Handler serves the weight store's port.
func (w *Weights) Handler(ctx *fasthttp.RequestCtx) {
	f := &w.Ledger.Faults
	e := ledger.Entry{Kind: "fetch", Name: strings.TrimPrefix(string(ctx.Path()), "/weights/"), Outcome: "done"}
	if d := f.Number("delay"); d > 0 {
		time.Sleep(clock.Span(d).Std())
	}
	status := fasthttp.StatusOK
	switch {
	case f.Applies("down"):
		status, e.Outcome = fasthttp.StatusServiceUnavailable, "down"
	case !w.Limit.Allow():
		status, e.Outcome = fasthttp.StatusTooManyRequests, "limited"
		ctx.Response.Header.Set("Retry-After", "1")
	default:
		time.Sleep(w.FetchTime)
	}
	w.Ledger.Add(e)
	ledger.Reply(ctx, status, map[string]string{"name": e.Name, "outcome": e.Outcome})
}

// Fetch returns a function for an engine that fetches a version from the store at addr. It makes up to five attempts, one second
// apart, because the store answers 429 above its rate limit.
func Fetch(addr string) func(name string) error {
	c := &fasthttp.Client{ReadTimeout: 5 * time.Second}
	return func(name string) error {
		status, err := 0, error(nil)
		for range 5 {
			status, _, err = c.Get(nil, "http://"+addr+"/weights/"+name)
			if err == nil && status == fasthttp.StatusOK {
				return nil
			}
			time.Sleep(time.Second)
		}
		if err != nil {
			return oops.Wrapf(err, "fetching the weights of %s", name)
		}
		return oops.Errorf("weights of %s not fetched: status %d", name, status)
	}
}

package entry

import (
	"encoding/json"
	"strings"
	"sync"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/flow"
	"shallotrun/core/retry"
	"shallotrun/core/work"
	"shallotrun/io/conn"
	"shallotrun/io/rating"
)

// Cascades decides about the stages of cascades. It is called from many goroutines.
type Cascades interface {
	// Begin returns the index of the stage to start with.
	Begin(c *document.Cascade, prompt string) int
	// Judge takes the rating of a stage's answer and returns whether the answer is good enough, and if not,
	// the index of the stage to go on with.
	Judge(c *document.Cascade, prompt string, stage, rating int) (accept bool, next int)
}

// ladder is the fixed rule: every stage in turn until the rating reaches the target.
type ladder struct{}

func (ladder) Begin(*document.Cascade, string) int { return 0 }

func (ladder) Judge(c *document.Cascade, _ string, stage, rating int) (bool, int) {
	return rating >= c.Quality, stage + 1
}

// ratings asks the rating service and holds back while it is down, so that no request waits for a rating that
// will not come.
type ratings struct {
	client   rating.Client
	clock    clock.Clock
	mu       sync.Mutex
	breakers retry.Breakers
}

// ratingWait is the time for a rating where the cascade sets none.
const ratingWait = 500 * clock.Millisecond

// down reports whether ratings are held back now.
func (r *ratings) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.Addr == "" || r.breakers.Open(r.clock.Now(), r.client.Addr, "", "")
}

func (r *ratings) rate(q *rating.Question, wait clock.Span) (int, bool) {
	r.mu.Lock()
	ok := r.client.Addr != "" && r.breakers.Allow(r.clock.Now(), r.client.Addr, "", "")
	r.mu.Unlock()
	if !ok {
		return 0, false
	}
	n, err := r.client.Rate(q, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakers.Report(r.clock.Now(), work.Result{Server: r.client.Addr, Failed: err != nil})
	return n, err == nil
}

func (d *Daemon) newRatings() *ratings {
	return &ratings{client: rating.Client{Addr: d.Rating, Pool: &conn.Pool{Clock: d.Clock}}, clock: d.Clock}
}

// begin returns the index of a cascade's first stage. While ratings are missing, a cascade that falls back to
// its last stage starts there: a cheaper answer could not be used.
func (d *Daemon) beginCascade(c *document.Cascade, prompt string) int {
	last := len(c.Stages) - 1
	if c.Down != downFirst && d.ratings.down() {
		return last
	}
	return min(max(d.Cascades.Begin(c, prompt), 0), last)
}

// downFirst is the value of a cascade's Down that accepts the first answer without a rating.
const downFirst = "first"

// rate decides whether a held answer is given to the caller.
func (x *exchange) rate() flow.Event {
	c, t := x.cascade, x.target()
	stage := x.base + x.flow.Stage()
	wait := clock.Span(c.Wait)
	if wait == 0 {
		wait = ratingWait
	}
	if x.request.end != 0 {
		wait = min(wait, max(x.request.end.Sub(x.d.Clock.Now()), 1))
	}
	n, ok := x.d.ratings.rate(&rating.Question{
		Request: x.request.id, Model: t.Model, Version: t.Version, Prompt: x.prompt, Answer: x.heldText(),
	}, wait)
	accept, next := c.Down == downFirst, len(c.Stages)-1
	if ok {
		accept, next = x.d.Cascades.Judge(c, x.prompt, stage, n)
	}
	result := "missing"
	switch {
	case ok && accept:
		result = "accepted"
	case ok:
		result = "escalated"
	}
	x.d.metrics.ratings.WithLabelValues(result).Inc()
	return flow.Rated{Accept: accept, Next: next - x.base}
}

// heldText returns the text of the held answer.
func (x *exchange) heldText() string {
	var b strings.Builder
	for _, h := range x.hold {
		var s string
		if json.Unmarshal(h.text, &s) == nil {
			b.WriteString(s)
		}
	}
	return b.String()
}

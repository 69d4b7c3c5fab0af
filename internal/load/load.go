package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"shallotrun/core/clock"
)

// Generator is one run of the load generator. The exported fields are set before Run. ResumableIdleTimeout can be shorter than
// IdleTimeout, because the requests to which it applies can be resumed or retried elsewhere.
type Generator struct {
	Targets              []string // entry VMs' addresses for callers
	Rate                 float64  // requests per second
	Count                int      // number of requests
	Seed                 uint64   // determines the arrivals and the requests
	Tenants              []Tenant
	Mix                  Mix
	IdleTimeout          time.Duration // idle timeout of a connection
	ResumableIdleTimeout time.Duration // idle timeout within a stream and for calls with a key, 0 means IdleTimeout
	MaxResumes           int           // maximum number of resumes and retries of one request
	MaxInFlight          int           // 0 means 4096; further requests are sent late, when one has ended
	OnRecord             func(Record)  // called for each request that has ended, one at a time; may be nil

	clock    clock.Clock
	sessions *sessions
	failed   *failedTargets
}

// Run sends all requests and returns when each has ended. Canceling ctx stops the sending; requests in flight continue to their end.
func (g *Generator) Run(ctx context.Context) Result {
	g.sessions, g.failed = &sessions{}, &failedTargets{retryAt: map[string]time.Time{}}
	if g.ResumableIdleTimeout == 0 {
		g.ResumableIdleTimeout = g.IdleTimeout
	}
	if g.MaxInFlight == 0 {
		g.MaxInFlight = 4096
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	res := Result{Seed: g.Seed}
	slots := make(chan struct{}, g.MaxInFlight)
	p := newPlanner(*g)
	start := time.Now()
	for n := range g.Count {
		r := p.next(n)
		if !sleep(ctx, time.Until(start.Add(r.offset))) {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.SentAt = g.clock.Now()
			switch {
			case r.Kind == KindChat:
				g.chat(r)
			case r.duplicate:
				g.plainTwice(r)
			default:
				g.plain(r)
			}
			mu.Lock()
			defer mu.Unlock()
			res.Records = append(res.Records, r.Record)
			if g.OnRecord != nil {
				g.OnRecord(r.Record)
			}
		})
	}
	wg.Wait()
	res.Summaries = Summarize(res.Records)
	return res
}

// recordBreak adds an attempt that broke to the record. The outcome is Broken until a later attempt sets another one.
func (g *Generator) recordBreak(r *request, addr string, err error) {
	r.Outcome, r.Error = Broken, err.Error()
	var timeout interface{ Timeout() bool } // fasthttp.ErrTimeout does not implement net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	r.Breaks = append(r.Breaks, Break{Target: addr, At: g.clock.Now(), Code: r.Code, Error: r.Error, TimedOut: timedOut})
}

// target returns the address with index first, or the next one that did not refuse or break a connection within the last second, as
// a load balancer would. If all did, it returns the address with index first.
func (g *Generator) target(first int) string {
	for i := range g.Targets {
		if addr := g.Targets[(first+i)%len(g.Targets)]; g.failed.available(addr) {
			return addr
		}
	}
	return g.Targets[first%len(g.Targets)]
}

func (g *Generator) markFailed(addr string) { g.failed.markFailed(addr) }

// failedTargets holds the targets that refused or broke a connection, and when each may be used again.
type failedTargets struct {
	mu      sync.Mutex
	retryAt map[string]time.Time
}

func (t *failedTargets) markFailed(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt[addr] = time.Now().Add(time.Second)
}

func (t *failedTargets) available(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().After(t.retryAt[addr])
}

// sleep waits for d. It reports false if ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"shallotrun/core/clock"
)

// Load is one run of the load tool. The exported fields are set before Run.
type Load struct {
	Targets []string // entry VMs' addresses for callers
	Rate    float64  // requests per second
	Count   int      // number of requests
	Seed    uint64
	Tenants []Tenant
	Mix     Mix
	Stall   time.Duration // time without a byte after which a connection counts as broken
	Gap     time.Duration // the same within a stream, and for calls with a key; 0 means Stall
	Resumes int           // continuations of one request at most
	Running int           // requests under way at most; further ones wait, which is reported as late
	Seen    func(Record)  // called for each finished request, may be nil

	clock    clock.Clock
	sessions *sessions
	avoided  *avoided
}

// Run sends all requests and returns when each has ended. Ending ctx stops sending; requests under way go
// on.
func (l *Load) Run(ctx context.Context) Result {
	l.sessions, l.avoided = &sessions{}, &avoided{until: map[string]time.Time{}}
	if l.Gap == 0 {
		l.Gap = l.Stall
	}
	if l.Running == 0 {
		l.Running = 4096
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	res := Result{Seed: l.Seed}
	slots := make(chan struct{}, l.Running)
	p := newPlanner(*l)
	start := time.Now()
	for n := range l.Count {
		r := p.next(n)
		if !sleep(ctx, time.Until(start.Add(r.after))) {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.At = l.clock.Now()
			switch {
			case r.Kind == KindChat:
				l.chat(r)
			case r.twice:
				l.both(r)
			default:
				l.plain(r)
			}
			mu.Lock()
			defer mu.Unlock()
			res.Records = append(res.Records, r.Record)
			if l.Seen != nil {
				l.Seen(r.Record)
			}
		})
	}
	wg.Wait()
	res.Sums = Sums(res.Records)
	return res
}

// broke notes an attempt that broke.
func (l *Load) broke(r *request, addr string, err error) {
	r.Outcome, r.Error = Broken, err.Error()
	var timeout interface{ Timeout() bool } // fasthttp.ErrTimeout is no net.Error
	silent := errors.As(err, &timeout) && timeout.Timeout()
	r.Breaks = append(r.Breaks, Break{Target: addr, At: l.clock.Now(), Code: r.Code, Error: r.Error, Silent: silent})
}

// target returns the address with this index, skipping those that refused a connection or broke one
// within the last second, as a load balancer would.
func (l *Load) target(i int) string {
	for j := range l.Targets {
		if a := l.Targets[(i+j)%len(l.Targets)]; l.avoided.allows(a) {
			return a
		}
	}
	return l.Targets[i%len(l.Targets)]
}

func (l *Load) avoid(addr string) { l.avoided.add(addr) }

// avoided holds the targets that are not used for a while.
type avoided struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoided) add(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.until[addr] = time.Now().Add(time.Second)
}

func (a *avoided) allows(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().After(a.until[addr])
}

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

package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/retry"
	"shallotrun/core/work"
	"shallotrun/io/conn"
	"shallotrun/io/rating"
)

const (
	// defaultRatingTimeout is how long a request waits for a rating if the cascade does not set it.
	defaultRatingTimeout = 500 * clock.Millisecond
	// lateRatingTimeout is the timeout of a rating whose request no longer waits for it. The chooser learns from late ratings.
	lateRatingTimeout = clock.Minute
	// Maximum number of ratings with lateRatingTimeout and maximum size of their prompts and answers. Beyond them a rating is
	// abandoned when its request stops waiting.
	maxLateRatings = 128
	maxLateBytes   = 4 << 20
)

// ratings calls the rating service through a circuit breaker, so that no request waits for a rating while the service is down.
type ratings struct {
	client    rating.Client
	clock     clock.Clock
	mu        sync.Mutex
	breakers  retry.Breakers
	lateCount int // ratings in flight with lateRatingTimeout
	lateBytes int // size of their prompts and answers
}

func (d *Daemon) newRatings() *ratings {
	return &ratings{client: rating.Client{Addr: d.RatingAddr, Pool: &conn.Pool{Clock: d.Clock}}, clock: d.Clock}
}

// down reports whether there is no rating service or its circuit breaker is open.
func (r *ratings) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.Addr == "" || r.breakers.Open(r.clock.Now(), r.client.Addr, "", "")
}

// openLate returns the number of ratings in flight that may arrive late.
func (r *ratings) openLate() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lateCount
}

// lateReply is the outcome of a call to the rating service after its request has stopped waiting.
type lateReply struct {
	rating int
	ok     bool // the call returned a rating
	inTime bool // the rating arrived within maxWait
}

// rate returns the rating of an answer if it arrives within wait. A later outcome is passed to late, on another goroutine.
// MaxWait is the maximum time that a request waits for a rating; a late reply tells whether it arrived within it.
func (r *ratings) rate(q *rating.Request, wait, maxWait clock.Span, late func(lateReply)) (int, bool) {
	size := len(q.Prompt) + len(q.Answer)
	timeout, ok := r.admit(size, wait)
	if !ok {
		return 0, false
	}
	out := make(chan int, 1)
	var settled atomic.Bool // set by whichever comes first, the reply or the end of the wait
	start := r.clock.Now()
	go func() {
		defer close(out)
		n, err := r.client.Rate(q, timeout)
		r.finish(size, timeout > wait, err != nil)
		switch first := settled.CompareAndSwap(false, true); {
		case !first:
			late(lateReply{n, err == nil, err == nil && r.clock.Now().Sub(start) <= maxWait})
		case err == nil:
			out <- n
		}
	}()
	if wait > 0 {
		t := time.NewTimer(wait.Std())
		defer t.Stop()
		select {
		case n, ok := <-out:
			return n, ok
		case <-t.C:
		}
	}
	if settled.CompareAndSwap(false, true) {
		return 0, false
	}
	n, ok := <-out
	return n, ok
}

// admit returns the timeout of a call to the rating service, or false if the call must not be made now.
func (r *ratings) admit(size int, wait clock.Span) (clock.Span, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.lateCount < maxLateRatings && r.lateBytes+size <= maxLateBytes
	if r.client.Addr == "" || !room && wait <= 0 || !r.breakers.Allow(r.clock.Now(), r.client.Addr, "", "") {
		return 0, false
	}
	if !room || wait >= lateRatingTimeout {
		return wait, true
	}
	r.lateCount++
	r.lateBytes += size
	return lateRatingTimeout, true
}

// finish ends a call that admit allowed. Late tells whether the call had lateRatingTimeout.
func (r *ratings) finish(size int, late, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if late {
		r.lateCount--
		r.lateBytes -= size
	}
	r.breakers.Report(r.clock.Now(), work.Result{Server: r.client.Addr, Failed: failed})
}

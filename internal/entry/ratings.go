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
	// ratingWait is the time for a rating where the cascade sets none.
	ratingWait = 500 * clock.Millisecond
	// latePatience is how long a rating is awaited that comes too late for its request but is learned from.
	latePatience = clock.Minute
	// Bounds of the ratings that are awaited. Beyond them a rating is awaited only as long as its request waits.
	lateCount = 128
	lateBytes = 4 << 20
)

// ratings asks the rating service and holds back while it is down, so that no request waits for a rating that
// will not come.
type ratings struct {
	client   rating.Client
	clock    clock.Clock
	mu       sync.Mutex
	breakers retry.Breakers
	count    int // awaited beyond the wait of their requests
	bytes    int // of their prompts and answers
}

func (d *Daemon) newRatings() *ratings {
	return &ratings{client: rating.Client{Addr: d.Rating, Pool: &conn.Pool{Clock: d.Clock}}, clock: d.Clock}
}

// down reports whether ratings are held back now.
func (r *ratings) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.Addr == "" || r.breakers.Open(r.clock.Now(), r.client.Addr, "", "")
}

// open returns the number of ratings that may come late.
func (r *ratings) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// lateReply is what came of a question after its request had stopped waiting.
type lateReply struct {
	rating int
	ok     bool // there is a rating
	soon   bool // it took at most the usual wait
}

// rate returns the rating of an answer if it comes within wait. What comes afterwards is passed to late.
func (r *ratings) rate(q *rating.Question, wait, usual clock.Span, late func(lateReply)) (int, bool) {
	size := len(q.Prompt) + len(q.Answer)
	patience, ok := r.enter(size, wait)
	if !ok {
		return 0, false
	}
	out := make(chan int, 1)
	var settled atomic.Bool // by the reply or by the end of the wait
	start := r.clock.Now()
	go func() {
		defer close(out)
		n, err := r.client.Rate(q, patience)
		r.leave(size, patience > wait, err != nil)
		switch first := settled.CompareAndSwap(false, true); {
		case !first:
			late(lateReply{n, err == nil, err == nil && r.clock.Now().Sub(start) <= usual})
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

// enter returns how long a rating may take, false if it is not asked for now.
func (r *ratings) enter(size int, wait clock.Span) (clock.Span, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	room := r.count < lateCount && r.bytes+size <= lateBytes
	if r.client.Addr == "" || !room && wait <= 0 || !r.breakers.Allow(r.clock.Now(), r.client.Addr, "", "") {
		return 0, false
	}
	if !room || wait >= latePatience {
		return wait, true
	}
	r.count++
	r.bytes += size
	return latePatience, true
}

// leave ends a question that enter admitted. Extra says that it may have taken longer than its request waited.
func (r *ratings) leave(size int, extra, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if extra {
		r.count--
		r.bytes -= size
	}
	r.breakers.Report(r.clock.Now(), work.Result{Server: r.client.Addr, Failed: failed})
}

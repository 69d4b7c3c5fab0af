package entry

import (
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/place"
	"shallotrun/core/work"
	"shallotrun/io/plain"
)

// outcome is the result of one attempt. The field attempt is nil if nothing was sent.
type outcome struct {
	attempt *serverAttempt
	answer  *plain.Answer
	refusal *work.Refusal
}

// defaultHedgeDelay is the delay before a hedge while there are too few answers for a percentile.
const defaultHedgeDelay = 500 * clock.Millisecond

// hedge sends a repeatable call. If there is no answer after hedgeDelay and the retry budget allows it, it sends the call a
// second time, on a new connection, to another server if there is one. The first answer is used. A server whose connections no
// longer respond then delays a call by a fraction of a second and not until its deadline.
func (c *plainCall) hedge(first *serverAttempt, exclude []string) outcome {
	results := make(chan outcome, 2)
	go func() { results <- c.send(first) }()
	timer := time.NewTimer(c.pool.hedgeDelay().Std())
	defer timer.Stop()
	for open := 1; ; {
		select {
		case o := <-results:
			open--
			if o.refusal != nil && open > 0 { // the other attempt may still answer
				mayHaveRun := o.refusal.Ran != work.NotRun
				o = <-results
				if mayHaveRun && o.refusal != nil {
					o.refusal.Ran = work.RunUnknown
				}
				return o
			}
			if open > 0 {
				go discard(results)
			}
			return o
		case <-timer.C:
			if second := c.acquireHedge(first, exclude); second != nil {
				open++
				c.d.metrics.hedges.Inc()
				go func() { results <- c.send(second) }()
			}
		}
	}
}

// acquireHedge takes a hedge from the retry budget and a slot, at a server other than that of first if there is one. It returns
// nil if no slot is free now or the budget is exhausted.
func (c *plainCall) acquireHedge(first *serverAttempt, exclude []string) *serverAttempt {
	if !c.pool.spendRetry() {
		return nil
	}
	placement := place.Request{Exclude: append([]string{first.vm.Name}, exclude...)}
	if t, refusal := c.pool.enqueue(c.queueItem(c.request.id+".2"), placement); refusal == nil {
		select {
		case g := <-t.grant:
			if g.refusal == nil {
				attempt := &serverAttempt{vm: g.server, ticket: t, call: c.call}
				attempt.call.NewConn = true
				return attempt
			}
		default:
			c.pool.withdraw(t)
		}
	}
	c.pool.refundRetry()
	return nil
}

// discard closes the answer of the slower attempt.
func discard(results <-chan outcome) {
	if o := <-results; o.answer != nil {
		o.answer.Close(false)
	}
}

// observeAnswerTime records the time to the first byte of an answer.
func (p *pool) observeAnswerTime(first clock.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hedge.Observe(first)
}

// hedgeDelay returns the delay before a hedge.
func (p *pool) hedgeDelay() clock.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.hedge.Delay(true); ok {
		return s
	}
	return defaultHedgeDelay
}

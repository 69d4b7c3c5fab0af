package rollout

import (
	"fmt"
	"math"
)

const (
	// Error rate that is assumed, with the weight of usualWeight requests, before anything is known.
	usualRate   = 0.01
	usualWeight = 400
	// Below this rate a version is not blamed: a single failure would otherwise outweigh everything.
	leastRate = 0.005
	// The rate for comparison is that of about the last windowLong requests, or a lower bound of that of the last
	// windowShort if this is higher: then the servers or a dependency fail, which is not the version's fault.
	windowLong  = 20000
	windowShort = 200
	// A version that turns bad after a good start is found by the sum of evidence since its best moment. The bound is
	// higher than that of the test from the start, because each failure is a new chance of a false halt.
	turnBound = 13
	// Odds against a rise at which a stage may be advanced, as a logarithm: 20 to 1.
	acceptBound = 3
)

// rises are the error rates that the test looks for, as factor on the usual rate and as the least rate, with their
// weights in the mixture. After a number of requests the evidence late is enough, which cuts off the long tail of the
// test: by then a good version has evidence far below zero.
var rises = [...]struct{ factor, least, weight, after, late float64 }{
	{3, 0.02, 0.5, 1350, 0.5}, {7, 0.08, 0.05, 300, 3}, {16, 0.15, 0.45, 45, 3},
}

// test is the state of the sequential test for one version: log likelihood ratios of each rise against no rise.
type test struct {
	total  [len(rises)]float64 // since the start
	turn   [len(rises)]float64 // since the lowest point of total
	accept float64             // of the smallest rise since the start of the stage
	count  float64
}

// window counts recent results.
type window struct{ long, short ratio }

type ratio struct{ good, bad float64 }

func (w *window) add(good, bad float64) {
	w.long.add(good, bad, windowLong)
	w.short.add(good, bad, windowShort)
}

func (r *ratio) add(good, bad, most float64) {
	r.good += good
	r.bad += bad
	if n := r.good + r.bad; n > most {
		r.good *= most / n
		r.bad *= most / n
	}
}

// rate returns an upper estimate of the usual error rate.
func (w window) rate() float64 {
	n := w.long.good + w.long.bad + usualWeight
	p := (w.long.bad + usualRate*usualWeight) / n
	p += math.Sqrt(p*(1-p)/n) / 2
	if m := w.short.good + w.short.bad; m >= windowShort/2 {
		q := w.short.bad / m
		p = max(p, q-3*math.Sqrt(q*(1-q)/m))
	}
	return min(max(p, leastRate), 0.9)
}

// add takes in new results, of which the order is unknown, given the usual error rate.
func (t *test) add(usual, good, bad float64) {
	for i, r := range rises {
		p := min(max(usual*r.factor, r.least), 0.95)
		step := bad*math.Log(p/usual) + good*math.Log((1-p)/(1-usual))
		t.total[i] += step
		t.turn[i] = max(t.turn[i]+step, 0)
		if i == 0 {
			t.accept += step
		}
	}
	t.count += good + bad
}

// mixture returns the logarithm of the weighted mean of the likelihood ratios since the start. Under no rise it
// exceeds log(1/alpha) at any time with a probability of at most alpha.
func (t *test) mixture() float64 {
	top := math.Inf(-1)
	for _, l := range t.total {
		top = max(top, l)
	}
	sum := 0.0
	for i, l := range t.total {
		sum += rises[i].weight * math.Exp(l-top)
	}
	return top + math.Log(sum)
}

// late reports whether one of the rises is likely by itself: after a good start, or after many requests.
func (t *test) late() bool {
	for i, r := range rises {
		if t.turn[i] >= turnBound || t.count >= r.after && t.total[i] >= r.late {
			return true
		}
	}
	return false
}

// sequential applies the test to a version.
func (r *record) sequential(p Sequential) Decision {
	if r.test.count == 0 {
		return Decision{}
	}
	if r.test.mixture() >= math.Log(1/p.Alpha) || r.test.late() {
		return Decision{Halt, fmt.Sprintf("%.0f of %.0f requests failed", r.bad, r.good+r.bad)}
	}
	if r.stage >= uint64(p.Least) && r.test.accept <= -acceptBound {
		return Decision{Advance, fmt.Sprintf("%.0f of %.0f requests failed", r.bad, r.good+r.bad)}
	}
	return Decision{}
}

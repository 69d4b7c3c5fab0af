package rollout

import (
	"fmt"
	"math"
)

const (
	// priorRate is the error rate that is assumed before there are results, with the weight of priorWeight requests.
	priorRate   = 0.01
	priorWeight = 400
	// minRate is the least error rate to compare with: against a lower one a single failure would halt a version.
	minRate = 0.005
	// A version is compared with the error rate of about the last windowLong requests of the control versions, or with a lower
	// bound of that of the last windowShort if this is higher: then the servers or a dependency fail, not the version.
	windowLong  = 20000
	windowShort = 200
	// changeBound is the threshold for a version that turns bad after a good start, which is found by the log likelihood
	// ratio since its lowest point (CUSUM). It is higher than the threshold of the test from the start, because each failure
	// is a new chance of a false halt.
	changeBound = 13
	// acceptBound is the log odds against a rise at which a stage can be advanced: 20 to 1.
	acceptBound = 3
)

// rises are the raised error rates that are tested for: a factor on the base rate, the least raised rate, and the weight in the
// mixture. Once a version has at least "after" requests, a log likelihood ratio of "late" is enough to halt it. This cuts off
// the long tail of the test: by then the log likelihood ratio of a good version is far below zero.
var rises = [...]struct{ factor, least, weight, after, late float64 }{
	{3, 0.02, 0.5, 1350, 0.5}, {7, 0.08, 0.05, 300, 3}, {16, 0.15, 0.45, 45, 3},
}

// test is the state of the sequential test for one version: the log likelihood ratios of each rise against no rise.
type test struct {
	logRatio    [len(rises)]float64 // since the start
	cusum       [len(rises)]float64 // since the lowest point of logRatio
	acceptRatio float64             // of the smallest rise, since the start of the stage
	count       float64
}

// window holds the recent results, weighted so that their total stays within windowLong and windowShort.
type window struct{ long, short outcomes }

type outcomes struct{ good, bad float64 }

func (w *window) add(good, bad float64) {
	w.long.add(good, bad, windowLong)
	w.short.add(good, bad, windowShort)
}

func (r *outcomes) add(good, bad, limit float64) {
	r.good += good
	r.bad += bad
	if n := r.good + r.bad; n > limit {
		r.good *= limit / n
		r.bad *= limit / n
	}
}

// rate returns an upper estimate of the base error rate.
func (w window) rate() float64 {
	n := w.long.good + w.long.bad + priorWeight
	p := (w.long.bad + priorRate*priorWeight) / n
	p += math.Sqrt(p*(1-p)/n) / 2
	if m := w.short.good + w.short.bad; m >= windowShort/2 {
		q := w.short.bad / m
		p = max(p, q-3*math.Sqrt(q*(1-q)/m))
	}
	return min(max(p, minRate), 0.9)
}

// add takes in new results, whose order is unknown, given the base error rate.
func (t *test) add(baseRate, good, bad float64) {
	for i, r := range rises {
		p := min(max(baseRate*r.factor, r.least), 0.95)
		step := bad*math.Log(p/baseRate) + good*math.Log((1-p)/(1-baseRate))
		t.logRatio[i] += step
		t.cusum[i] = max(t.cusum[i]+step, 0)
		if i == 0 {
			t.acceptRatio += step
		}
	}
	t.count += good + bad
}

// mixture returns the logarithm of the weighted mean of the likelihood ratios since the start. Without a rise it ever exceeds
// log(1/alpha) with a probability of at most alpha.
func (t *test) mixture() float64 {
	top := math.Inf(-1)
	for _, l := range t.logRatio {
		top = max(top, l)
	}
	sum := 0.0
	for i, l := range t.logRatio {
		sum += rises[i].weight * math.Exp(l-top)
	}
	return top + math.Log(sum)
}

// late reports whether a single rise is likely by itself: after a good start, or after many requests.
func (t *test) late() bool {
	for i, r := range rises {
		if t.cusum[i] >= changeBound || t.count >= r.after && t.logRatio[i] >= r.late {
			return true
		}
	}
	return false
}

// sequential applies the test to a version.
func (r *versionState) sequential(p Sequential) Decision {
	if r.test.count == 0 {
		return Decision{}
	}
	if r.test.mixture() >= math.Log(1/p.Alpha) || r.test.late() {
		return Decision{Halt, fmt.Sprintf("%.0f of %.0f requests failed", r.bad, r.good+r.bad)}
	}
	if r.stage >= uint64(p.MinRequests) && r.test.acceptRatio <= -acceptBound {
		return Decision{Advance, fmt.Sprintf("%.0f of %.0f requests failed", r.bad, r.good+r.bad)}
	}
	return Decision{}
}

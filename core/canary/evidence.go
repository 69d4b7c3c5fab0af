package canary

import (
	"math"

	"shallotrun/core/clock"
)

// The results of the new version are compared with those of the old version in the same slice of time, by log likelihood ratios of
// "the version is worse" against "it is like the old one". Two models say what worse means:
//
//   - In the series of failed answers, a worse version fails in ownFailures of the answers that the old version would have given. Then
//     every good answer counts ln(1-ownFailures), whatever the old version's rate p is, and a bad one ln(1+ownFailures*(1-p)/p): the
//     more the old version fails, the less a failure of the new one shows.
//   - In the other series bad results are slow ones too, of which a load causes many with both versions. There a worse version has
//     riseFactor times as many bad results as the old one.
//
// To roll a version back the old version's rate is estimated too high, to finish the order too low, so a rate that is not well known
// leads to neither.
const (
	// ownFailures is the fraction of answers that a bad version fails at least, beside those that any version may fail.
	ownFailures = 0.3
	// A series is a verdict from haltLogRatio on. The threshold is higher than for a single test because each of several VMs can
	// roll the version back, in each series and for the results since any slice.
	haltLogRatio = 8
	// scanMargin is what the results since a later slice have to exceed those of the whole order by: there are many slices from
	// which chance could make them look bad.
	scanMargin = 3
	// suspectLogRatio is the evidence against the new version from which an order is not finished.
	suspectLogRatio = 2
	riseFactor      = 3
	// minRise is the least rate of bad results that a worse version is assumed to have.
	minRise = 0.3
	// minSlowRise is the same of late or slow streams when the order is finished. It exceeds a half for a version that is twice as slow.
	minSlowRise = 0.5
	// streamsMin is the number of the old version's good streams from which the new version's streams are compared with them.
	streamsMin = 20
	// minRate is the least rate of bad results that is assumed for any version.
	minRate = 0.02
	// rateMargin is the margin for a rate that is not well known, in standard errors.
	rateMargin = 0.7
	// maxControlRate is the rate of failures above which the old version is no measure any more: its failures may have a cause that
	// the new version's servers do not share, so more of them excuse no more failures of the new version.
	maxControlRate = 0.1
	// A slice is compared with the old version's results in it, and before it until they are controlMin, and then as far back as their
	// rate differs by less than sameRate standard errors.
	controlMin = 40
	sameRate   = 2
	// looks is the number of chances that an order has to be finished by mistake: several VMs decide, on results that the others do not
	// all have yet. It divides the error probability.
	looks = 3
	// From maxFailed failed answers of the new version on an order is rolled back if nothing clears it within maxFailedWait. Operators
	// ask that a bad version gets no requests five seconds after its 50th failure; the wait is for a fault of both versions that ends,
	// and leaves time for the results and the verdict to reach all VMs.
	maxFailed     = 50
	maxFailedWait = 2 * clock.Second
)

// rate returns the fraction of bad results, taken rateMargin standard errors above the observed one: an old version's rate
// that is underestimated by chance would lead to a verdict against the new version.
func (c count) rate() float64 {
	if c == (count{}) {
		return minRate
	}
	n := c.all() + 10
	p := (float64(c.bad) + 1) / n
	return max(p+rateMargin*math.Sqrt(p*(1-p)/n), minRate)
}

// lowRate returns the fraction of bad results, taken rateMargin standard errors below the observed one.
func (c count) lowRate() float64 {
	if c == (count{}) {
		return minRate
	}
	p := float64(c.bad) / c.all()
	return max(p-rateMargin*math.Sqrt(p*(1-p)/c.all()), minRate)
}

// logRatio returns the log likelihood ratio of a version with a rate of bad results against one with another rate.
func (c count) logRatio(worse, rate float64) float64 {
	return float64(c.bad)*math.Log(worse/rate) + float64(c.good)*math.Log((1-worse)/(1-rate))
}

// ownRise returns the rate of failures of a version whose own failures come on top of those at a given rate.
func ownRise(rate float64) float64 { return rate + (1-rate)*ownFailures }

// multipleRise returns the rate of bad results of a version that has riseFactor times as many as at a given rate, least at least.
func multipleRise(rate, least float64) float64 { return min(max(riseFactor*rate, least), 0.95) }

// control returns the old version's results with which those of the new version in a slice are compared. In the last stage, in which
// the old version has none, they are the last ones before.
func (r *Rollout) control(name string, slice int) (c count) {
	t := r.known[series{name, false}]
	for i := slice; i >= 0; i-- {
		if c.all() >= controlMin && differ(c, t.at(i)) {
			break
		}
		c = c.plus(t.at(i))
	}
	return c
}

// differ reports whether two rates of bad results differ by sameRate standard errors or more.
func differ(a, b count) bool {
	if a.all() == 0 || b.all() == 0 {
		return false
	}
	p := float64(a.bad+b.bad) / (a.all() + b.all())
	return math.Abs(float64(a.bad)/a.all()-float64(b.bad)/b.all()) >= sameRate*math.Sqrt(p*(1-p)*(1/a.all()+1/b.all())) && p > 0 && p < 1
}

// highRate returns the old version's rate of bad results in a slice, if in doubt too high. For a route with few results it is at least
// that of the whole service.
func (r *Rollout) highRate(name string, slice int) float64 {
	c := r.control(name, slice)
	rate := c.rate()
	if c.all() < controlMin && name != r.Order.Service {
		rate = max(rate, r.control(r.Order.Service, slice).rate())
	}
	return min(rate, 0.9)
}

// against returns the evidence of a series against the new version: the log likelihood ratio of all results, or the greatest of those
// since any slice less scanMargin, as a version may become bad later.
func (r *Rollout) against(name string) float64 {
	t, sum, most := r.known[series{name, true}], 0.0, 0.0
	for i := maxSlices - 1; i >= 0; i-- {
		c := t.at(i)
		if c == (count{}) {
			continue
		}
		rate := r.highRate(name, i)
		worse := multipleRise(rate, minRise)
		if name == failureSeries(r.Order.Service) {
			worse = ownRise(rate)
		}
		sum += c.logRatio(worse, rate)
		most = max(most, sum)
	}
	return max(sum, most-scanMargin)
}

// judge decides whether the results of a series are a verdict against the new version.
func (r *Rollout) judge(k series) {
	if k.target && r.verdict == "" && r.against(k.name) >= haltLogRatio {
		r.verdict = "worse than the old version in the same time (" + k.name + ")"
	}
}

// suspected reports whether a series has evidence against the new version that is too weak for a verdict.
func (r *Rollout) suspected() bool {
	for k := range r.known {
		if k.target && r.against(k.name) >= suspectLogRatio {
			return true
		}
	}
	return false
}

// cleared reports whether the new version gave enough good answers to finish the order and, if the service has streams, enough
// that were neither late nor slow.
func (r *Rollout) cleared() bool {
	s := r.Order.Service
	if !r.rejects(s, minRise) || !r.failuresCleared() {
		return false
	}
	for _, name := range []string{startSeries(s), paceSeries(s)} {
		if r.total(series{name, false}).good >= streamsMin && !r.rejects(name, minSlowRise) {
			return false
		}
	}
	return true
}

// rejects reports whether the results of a series reject, with an error probability of at most missProbability, that the new
// version has the raised rate of bad results, least at least.
func (r *Rollout) rejects(name string, least float64) bool {
	t, sum := r.known[series{name, true}], 0.0
	for i := range maxSlices {
		if c := t.at(i); c != (count{}) {
			rate := r.highRate(name, i)
			sum += c.logRatio(multipleRise(rate, least), rate)
		}
	}
	return sum <= math.Log(missProbability)
}

// failuresCleared reports whether the failures of all answers, or of those since the old version was last no measure, reject that
// the new version fails by itself. Where there are both chances to be cleared, each has half of the error probability.
func (r *Rollout) failuresCleared() bool {
	name := failureSeries(r.Order.Service)
	t, sum, since, chances := r.known[series{name, true}], 0.0, 0.0, float64(looks)
	for i := range maxSlices {
		c := t.at(i)
		if c == (count{}) {
			continue
		}
		rate := r.control(name, i).lowRate()
		capped := min(rate, maxControlRate)
		ratio := c.logRatio(ownRise(capped), capped)
		sum, since = sum+ratio, since+ratio
		if rate > maxControlRate {
			since, chances = 0, 2*looks
		}
	}
	return min(sum, since) <= math.Log(missProbability/chances)
}

// failsTooOften reports whether the new version has given so many failed answers that the order ends, as they are not cleared.
func (r *Rollout) failsTooOften(now clock.Time) bool {
	if r.failed < maxFailed || r.failuresCleared() {
		r.manyFailedSince = 0
		return false
	}
	if r.manyFailedSince == 0 {
		r.manyFailedSince = now
	}
	return now.Sub(r.manyFailedSince) >= maxFailedWait
}

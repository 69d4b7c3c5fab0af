package canary

// A session must not change its version in the first half of an order, and no VM can tell which sessions the other VMs serve,
// so the new version gets no requests then. In the trial that follows it gets a few requests, which reveal most bad versions,
// and in the last stage all of them. The stages depend on the time alone, so that all VMs send a session to the same version.
const (
	// trialStart is the fraction of the order's duration after which the new version gets requests.
	trialStart = 0.51
	// finishAt is the fraction after which the order is finished. What is left of the duration covers the write to the store.
	finishAt = 0.97
	// trialFraction is the fraction of the requests in the trial, as a part of the share that a bad version may get.
	trialFraction = 0.5
	// shareFraction is the part of a bad version's share that the stages use. The rest is a reserve for traffic that grows
	// during the last stage.
	shareFraction = 0.9
	// defaultShare is the share if none is set.
	defaultShare = 0.15
)

// missProbability is the accepted probability that an order is finished although the results of the new version show that it
// is bad.
//
// It determines how many answers are needed. However many there are when an order is finished, a version that is worse as the models
// of the comparison say reaches a log likelihood ratio of ln missProbability with a probability of at most missProbability (Wald's
// sequential test). If the old version hardly fails that takes 13 good answers without a bad one, and each failure requires eight more
// good ones; if it fails in a tenth of its answers or more, each failure requires four more, and a version that fails in over a fifth
// is not expected to get there. An order whose service has fewer requests runs past its duration; the new version gets all requests
// then, so the answers come soon. A late end costs the operator some seconds, whereas a bad version harms callers until someone
// notices it.
const missProbability = 0.01

// stages determine which fraction of the requests the new version gets. They bound its share of all requests within the
// order's duration, even if it is bad in a way that no result shows.
type stages struct {
	trial   float64 // fraction of the requests between trialStart and allFrom
	allFrom float64 // fraction of the order's duration after which it gets all requests
}

// newStages returns the stages for a share of all requests, of which they use trial*(allFrom-trialStart) + (1-allFrom).
func newStages(share float64) stages {
	if share <= 0 {
		share = defaultShare
	}
	s := stages{trial: trialFraction * share}
	s.allFrom = max((1-trialStart*s.trial-shareFraction*share)/(1-s.trial), trialStart)
	return s
}

// fraction returns the fraction of the requests that the new version gets when a fraction of the duration has elapsed.
func (s stages) fraction(elapsed float64) float64 {
	switch {
	case elapsed >= s.allFrom:
		return 1
	case elapsed >= trialStart:
		return s.trial
	}
	return 0
}

package canary

// A session may not change its version in the first half of an order, and no VM knows which sessions the others serve, so
// the new version gets nothing then. After that it gets a few requests, by which most bad versions are found out, and in
// the end all of them. The stages depend on the time alone, so that all VMs send a session to the same version.
const (
	// firstAt is the part of the order's duration after which the new version gets requests.
	firstAt = 0.51
	// finishAt is the part after which the order is finished. What is left covers the write to the store.
	finishAt = 0.97
	// trialPart is the part of a bad version's share of requests that the new version gets before the last stage.
	trialPart = 0.5
	// sharePart is the part of a bad version's share that the stages use up. The rest is for a traffic that grows while
	// the last stage lasts.
	sharePart = 0.9
	// defaultShare is the share if none is set.
	defaultShare = 0.15
)

// missChance is the chance that is accepted of finishing a version that is bad in a way that its results show.
//
// It says how many answers a verdict needs. A version is finished when the likelihood ratio of "it fails riseFactor times as often
// as the old one, riseLeast at least" against "it fails as often" is missChance or less. Whatever the number of answers at that
// moment, a version of the first kind comes so far with a chance of at most missChance (Wald). Against an old version that
// hardly fails that takes 14 good answers without a bad one, against one that fails more often about 40, and each bad answer
// takes several more good ones. An order whose service has fewer requests stays running past its duration, since the new version then gets
// all requests and the answers soon come: a late end costs the operator some seconds, a bad version costs callers until someone
// notices.
const missChance = 0.01

// stages say which part of the requests the new version gets. They keep its share of all requests of the order's
// duration below a bound, also if it is bad in a way that no result shows.
type stages struct {
	trial float64 // part of the requests between firstAt and last
	last  float64 // part of the order's duration after which it gets all requests
}

// newStages returns the stages that keep to a share of all requests: trial*(last-firstAt) + (1-last) is what they use.
func newStages(share float64) stages {
	if share <= 0 {
		share = defaultShare
	}
	s := stages{trial: trialPart * share}
	s.last = max((1-firstAt*s.trial-sharePart*share)/(1-s.trial), firstAt)
	return s
}

// part returns the part of the requests for the new version, when a part of the duration is over.
func (s stages) part(over float64) float64 {
	switch {
	case over >= s.last:
		return 1
	case over >= firstAt:
		return s.trial
	}
	return 0
}

package canary

// stage is a part of an order's time with the part of the requests that the new version gets.
type stage struct {
	from  float64 // part of the order's duration that is over
	share float64 // of the requests
}

// stages give the new version nothing in the first half, in which a session that any VM serves has to keep its version: no
// VM knows which sessions the others serve. Then it gets a few requests, by which a bad version is usually found out,
// and more. The stages depend on the time alone, so that all VMs send a session to the same version.
var stages = [...]stage{{0, 0}, {0.51, 0.1}, {0.62, 0.3}, {0.72, 1}}

// finishAt is the part of the order's duration after which it is finished. The time since the last stage lets most
// streams on the old replicas end.
const finishAt = 0.92

// finishGood is the number of good answers of the new version that a VM has seen before it says that the order is done.
const finishGood = 8

// share returns the part of the requests for the new version.
func share(over float64) float64 {
	out := 0.0
	for _, s := range stages {
		if over >= s.from {
			out = s.share
		}
	}
	return out
}

package cascade

// Policy is the rule by which stages are chosen.
type Policy interface{ policy() }

// Always runs one stage for every request. It is a baseline.
type Always struct{ Stage int }

// Fixed starts with the first stage and runs the next one when the rating is below a bound. It is a baseline: the right
// bound depends on the mix of requests.
type Fixed struct{ Bound float64 }

// Learned chooses by the expected rating and cost of each stage for the class of the request.
type Learned struct {
	// Explore is the part of the requests that start one stage cheaper than seems best, so that a model that became
	// better is noticed. 0 means 0.03.
	Explore float64
}

func (Always) policy()  {}
func (Fixed) policy()   {}
func (Learned) policy() {}

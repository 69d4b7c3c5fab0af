package rollout

// Policy is the rule by which evidence leads to a decision.
type Policy interface{ policy() }

// Never advances a version after 200 requests in a stage and never halts it. It is a baseline for comparison.
type Never struct{}

// Threshold halts a version when its error rate exceeds Rate after at least MinRequests requests. It is a baseline for
// comparison: as it is evaluated after each request, it halts good versions too often or bad ones too late.
type Threshold struct {
	MinRequests int     // 0 means 20
	Rate        float64 // 0 means 0.05
}

// Sequential is a sequential probability ratio test. It compares the version's error rate with that of the versions that it
// would replace, for several sizes of rise at once, and halts the version when the likelihood ratio exceeds the bound that
// the probability of a false halt requires.
type Sequential struct {
	Alpha       float64 // probability of a false halt in one rollout by the test from its start, 0 means 0.002
	MinRequests int     // requests in a stage before the version can be advanced, 0 means 200
}

func (Never) policy()      {}
func (Threshold) policy()  {}
func (Sequential) policy() {}

func (p Threshold) defaults() Threshold {
	if p.MinRequests == 0 {
		p.MinRequests = 20
	}
	if p.Rate == 0 {
		p.Rate = 0.05
	}
	return p
}

func (p Sequential) defaults() Sequential {
	if p.Alpha == 0 {
		p.Alpha = 0.002
	}
	if p.MinRequests == 0 {
		p.MinRequests = 200
	}
	return p
}

package rollout

// Policy is the rule that turns evidence into a decision.
type Policy interface{ policy() }

// Never never halts a version and advances it after the least number of requests. It is a baseline.
type Never struct{}

// Threshold halts a version when its error rate exceeds Rate after at least Least requests. It is a baseline: looked
// at after each request it halts good versions too often, or bad ones too late.
type Threshold struct {
	Least int     // 0 means 20
	Rate  float64 // 0 means 0.05
}

// Sequential is a sequential probability ratio test. It compares the version's error rate with that of the versions
// that it would replace, for several sizes of rise at once, and halts when the evidence outweighs the chance of a
// false halt.
type Sequential struct {
	Alpha float64 // chance of a false halt in one roll-out by a rise from its start, 0 means 0.002
	Least int     // requests in a stage before it may be advanced, 0 means 200
}

func (Never) policy()      {}
func (Threshold) policy()  {}
func (Sequential) policy() {}

func (p Threshold) defaults() Threshold {
	if p.Least == 0 {
		p.Least = 20
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
	if p.Least == 0 {
		p.Least = 200
	}
	return p
}

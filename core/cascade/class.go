package cascade

const (
	// Ratings that are kept for each class and stage: enough for a share of a few percent, few enough to follow a change
	// within about a hundred requests.
	sampleMost = 120
	// Ratings below which a stage counts as unknown.
	known = 8
	// Weight of past requests when the frequency of the classes is updated.
	useKeep = 0.9
	// The rule aims this many points above the target: ratings are noisy, and choosing the answers with a good rating
	// favours those with noise upwards.
	margin = 0.5
)

// class is what is known about the requests of one class.
type class struct {
	stages []sample
	uses   float64 // requests since the last search
	weight float64 // decayed requests
	start  int
	values []float64 // expected rating when the request reaches a stage
	costs  []float64 // expected cost from there on
}

// sample is the latest ratings of the answers of one stage.
type sample struct {
	values []float64
	next   int
	sum    float64
}

func (s *sample) add(v float64) {
	if len(s.values) < sampleMost {
		s.values = append(s.values, v)
		s.sum += v
		return
	}
	s.sum += v - s.values[s.next]
	s.values[s.next] = v
	s.next = (s.next + 1) % sampleMost
}

func (s *sample) mean() float64 { return s.sum / float64(max(len(s.values), 1)) }

// plan computes, from the last stage back, the expected rating and cost of a request that reaches a stage, if the next
// stage runs wherever it brings more than slope rating points for each unit of cost.
func (cl *class) plan(c *Chooser, slope float64) {
	n := len(c.Costs)
	cl.values, cl.costs = make([]float64, n), make([]float64, n)
	for k := n - 1; k >= 0; k-- {
		s := &cl.stages[k]
		cl.values[k], cl.costs[k] = c.Target, c.Costs[k]
		if len(s.values) >= known {
			cl.values[k] = s.mean()
		}
		if k == n-1 || len(s.values) == 0 {
			continue
		}
		bound := cl.values[k+1] - slope*cl.costs[k+1]
		sum, below := 0.0, 0.0
		for _, v := range s.values {
			if v < bound {
				below++
				sum += cl.values[k+1]
			} else {
				sum += v
			}
		}
		cl.values[k] = sum / float64(len(s.values))
		cl.costs[k] += below / float64(len(s.values)) * cl.costs[k+1]
	}
	cl.start = 0
	for k := 1; k < n; k++ {
		if len(cl.stages[0].values) >= known && cl.costs[k] < cl.costs[cl.start] {
			cl.start = k
		}
	}
}

// bound returns the rating below which the next stage runs.
func (cl *class) bound(c *Chooser, stage int) float64 {
	if cl.values == nil {
		return c.Target
	}
	return cl.values[stage+1] - c.slope*cl.costs[stage+1]
}

// search sets the slope to the largest one with which the expected mean rating reaches the target.
func (c *Chooser) search() {
	for _, cl := range c.order {
		cl.weight = cl.weight*useKeep + cl.uses
		cl.uses = 0
	}
	low, high := 0.0, 100/max(c.Costs[len(c.Costs)-1], 1e-9)
	for range 14 {
		mid := (low + high) / 2
		if c.expected(mid) >= c.Target+margin {
			low = mid
		} else {
			high = mid
		}
	}
	c.slope = low
	c.expected(low)
}

// expected returns the expected mean rating over all classes, and leaves their plans at the slope.
func (c *Chooser) expected(slope float64) float64 {
	sum, weight := 0.0, 1e-9
	for _, cl := range c.order {
		cl.plan(c, slope)
		sum += cl.weight * cl.values[cl.start]
		weight += cl.weight
	}
	return sum / weight
}

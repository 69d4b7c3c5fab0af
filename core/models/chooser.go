package models

import "math"

// Model is a model with its cost for 1,000 generated tokens and its expected time to the first event of the request. The time
// is a multiple of the route's latency objective, 0 if it is not known.
type Model struct {
	Name         string
	Cost         float64
	RelativeTime float64
}

// Answer is the statement of a model about its answer.
type Answer struct {
	Model      int     // index in the list of models
	Confidence float64 // in [0, 1]
	Escalated  bool    // an answer of a smaller model was dropped before
}

// Size is the size of a request in tokens.
type Size struct {
	Prompt int
	Output int // expected
}

const (
	// promptCost is the cost of a prompt token, as a multiple of that of a generated token.
	promptCost = 0.25
	// Priors for a model that has no answers on a route yet: the fraction of its answers that are kept, and the fractions of
	// the kept answers and of all answers that are wrong.
	priorKept      = 0.5
	priorWrongKept = 0.05
	priorWrongAll  = 0.4
	// priorWeight is the weight of the priors in answers.
	priorWeight = 8
	// historyWindow is the number of answers over which a history is averaged.
	historyWindow = 200
)

// Chooser learns from the confidence of the models on each route. Worth is set before the first call.
type Chooser struct {
	// Worth is the worth of a right answer to a request of typical size, in the unit of the models' cost.
	Worth float64

	histories   map[key]*history
	typicalSize map[string]float64 // weight of the typical request, by route
}

// key is a model on a route. Requests that were escalated because a smaller model had too little confidence are kept apart.
type key struct {
	route, model string
	escalated    bool
}

// history counts the answers of a model on a route: all, the kept ones, and the expected number of wrong ones among the kept
// and among all.
type history struct{ all, kept, wrong, wrongAll float64 }

// wrong returns the probability that an answer is wrong, from 0 at full confidence to 1 at none. A stated confidence is coarse:
// it tells on which side of even odds the model sees its answer. The further it is from the middle, the less often the model
// is on the wrong side, hence the logistic curve.
func wrong(confidence float64) float64 {
	return (logistic(confidence) - logistic(1)) / (logistic(0) - logistic(1))
}

func logistic(confidence float64) float64 { return 1 / (1 + math.Exp(steepness*(confidence-0.5))) }

// steepness is chosen so that a confidence of 0.75 means odds of about 12 to 1.
const steepness = 10

// Start returns the index of the model that a request starts with. Models are ordered by size, smallest first. Load is the
// present delay of the servers' first events as a multiple of the objective: when they are late, each run takes time from
// other requests, and a run of a large model takes the most. If the request cannot be escalated, an answer is kept whatever
// its confidence.
func (c *Chooser) Start(route string, models []Model, s Size, load float64, canEscalate bool) int {
	c.observeSize(route, s)
	best := len(models) - 1
	priceFactor := loadFactor(load)
	worth := c.worth(route, s)
	// Wrong answers of the largest model add no cost, since no other model would do better.
	least := priceFactor*models[best].price(s) + worth*loss(0, models[best].RelativeTime)
	for i, m := range models[:len(models)-1] {
		k := key{route, m.Name, false}
		total := priceFactor * m.price(s)
		if canEscalate {
			_, next := c.next(route, models, i, s, load)
			total += (1-c.kept(k))*next + c.kept(k)*worth*loss(c.wrong(k), m.RelativeTime)
		} else {
			total += worth * loss(c.wrongAll(k), m.RelativeTime)
		}
		if total < least {
			best, least = i, total
		}
	}
	return best
}

// Next returns the index of the larger model to which a request is escalated after an answer was dropped: the one with the
// least expected cost, by price, errors and lateness. A prompt that the largest model would read for longer than the objective
// goes to a model between them, which also does not delay the other requests of the largest model's server for so long.
func (c *Chooser) Next(route string, models []Model, i int, s Size, load float64) int {
	j, _ := c.next(route, models, i, s, load)
	return j
}

func (c *Chooser) next(route string, models []Model, i int, s Size, load float64) (best int, least float64) {
	worth := c.worth(route, s)
	least = math.Inf(1)
	for j := len(models) - 1; j > i; j-- {
		wrong := 0.0
		if j < len(models)-1 {
			wrong = c.wrongAll(key{route, models[j].Name, true})
		}
		total := loadFactor(load)*models[j].price(s) + worth*loss(wrong, models[i].RelativeTime+models[j].RelativeTime)
		if total < least {
			best, least = j, total
		}
	}
	return best, least
}

// lateLoss is the fraction of its worth that an answer loses if it is late.
const lateLoss = 0.7

// Expected times, as multiples of the objective, from which an answer can be late and from which it is certain to be. They
// leave a margin because the expected times are inexact.
const (
	lateFrom  = 0.7
	lateUntil = 1.3
)

// loss returns the fraction of its worth that an answer is expected to lose, from the probability that it is wrong and its
// expected time.
func loss(wrong, time float64) float64 { return wrong + (1-wrong)*lateLoss*late(time) }

// late returns the probability that an answer is late, from its expected time.
func late(time float64) float64 { return min(max((time-lateFrom)/(lateUntil-lateFrom), 0), 1) }

// Keep decides whether an answer is passed on, or dropped and the request escalated to a larger model, and learns from it.
func (c *Chooser) Keep(route string, models []Model, a Answer, s Size, load float64) bool {
	keep := a.Model == len(models)-1
	if !keep {
		_, next := c.next(route, models, a.Model, s, load)
		keep = c.worth(route, s)*wrong(a.Confidence) <= next
	}
	if c.histories == nil {
		c.histories = make(map[key]*history)
	}
	k := key{route, models[a.Model].Name, a.Escalated}
	r := c.histories[k]
	if r == nil {
		r = &history{}
		c.histories[k] = r
	}
	r.all++
	r.wrongAll += wrong(a.Confidence)
	if keep {
		r.kept++
		r.wrong += wrong(a.Confidence)
	}
	if r.all > historyWindow {
		f := historyWindow / r.all
		r.all, r.kept, r.wrong, r.wrongAll = r.all*f, r.kept*f, r.wrong*f, r.wrongAll*f
	}
	return keep
}

// outputWeight is the weight of a generated token relative to a prompt token in the size of a request.
const outputWeight = 10

// fixedWorth is the fraction of an answer's worth that does not depend on its size, maxWorth the largest worth relative to
// that of a typical one.
const (
	fixedWorth = 0.3
	maxWorth   = 4
)

// worth returns the worth of a right answer to a request of a size: a long prompt that was read for nothing costs its caller
// more.
func (c *Chooser) worth(route string, s Size) float64 {
	weight := float64(s.Prompt + outputWeight*s.Output)
	typicalSize, ok := c.typicalSize[route]
	if !ok {
		typicalSize = weight
	}
	return c.Worth * min(fixedWorth+(1-fixedWorth)*weight/max(typicalSize, 1), maxWorth)
}

// observeSize updates the weight of the typical request of a route.
func (c *Chooser) observeSize(route string, s Size) {
	weight := float64(s.Prompt + outputWeight*s.Output)
	if c.typicalSize == nil {
		c.typicalSize = make(map[string]float64)
	}
	if typicalSize, ok := c.typicalSize[route]; ok {
		weight = typicalSize + (weight-typicalSize)/sizeWindow
	}
	c.typicalSize[route] = weight
}

// sizeWindow is the number of requests over which the weight of the typical request is averaged.
const sizeWindow = 30

// kept returns the fraction of a model's answers that are kept.
func (c *Chooser) kept(k key) float64 {
	r := c.histories[k]
	if r == nil {
		return priorKept
	}
	return (r.kept + priorKept*priorWeight) / (r.all + priorWeight)
}

// wrong returns the fraction of a model's kept answers that are wrong, as judged by their confidence.
func (c *Chooser) wrong(k key) float64 {
	r := c.histories[k]
	if r == nil {
		return priorWrongKept
	}
	return (r.wrong + priorWrongKept*priorWeight) / (r.kept + priorWeight)
}

// wrongAll returns the fraction of all answers of a model that are wrong, kept or not, as judged by their confidence.
func (c *Chooser) wrongAll(k key) float64 {
	r := c.histories[k]
	if r == nil {
		return priorWrongAll
	}
	return (r.wrongAll + priorWrongAll*priorWeight) / (r.all + priorWeight)
}

// freeLoad is the load up to which the price of a run is only its cost, loadGain the increase of the price factor for each unit
// of load beyond it.
const (
	freeLoad = 0.1
	loadGain = 24
)

// loadFactor returns the factor by which a load raises the price of every run.
func loadFactor(load float64) float64 { return 1 + loadGain*max(load-freeLoad, 0) }

// price returns the cost of one run.
func (m Model) price(s Size) float64 {
	return m.Cost * (float64(s.Output) + promptCost*float64(s.Prompt)) / 1000
}

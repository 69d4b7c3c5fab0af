package models

import "math"

// Model is a model with its cost for each 1,000 generated tokens, and the time in which it probably gives its first event of a
// request, as a part of the objective; 0 if that is not known.
type Model struct {
	Name string
	Cost float64
	Time float64
}

// Answer is what a model says of its answer.
type Answer struct {
	Model      int     // index
	Confidence float64 // in [0, 1]
	Second     bool    // an answer of a smaller model was dropped before
}

// Size is the size of a request in tokens.
type Size struct {
	Prompt int
	Output int // expected
}

const (
	// promptPart is the cost of a read token in generated ones.
	promptPart = 0.25
	// Before a model has answered on a route, half of its answers are taken to be sure enough, and those that are
	// kept and all of them to be wrong this often.
	firstKept  = 0.5
	firstWrong = 0.05
	firstDoubt = 0.4
	// firstWeight is the number of answers that these figures weigh.
	firstWeight = 8
	// memory is the number of answers that count.
	memory = 200
)

// Chooser learns from the confidence of the models on each route. Worth is set before the first call.
type Chooser struct {
	// Worth is what a right answer of the usual size is worth, in units of the models' cost.
	Worth float64

	seen  map[key]*record
	usual map[string]float64 // weight of the usual request, by route
}

// key is a model on a route; second is for requests of which a smaller model was not sure.
type key struct {
	route, model string
	second       bool
}

// record is what is known of a model on a route: how many of its answers were kept, and how often those and all of them are wrong.
type record struct{ all, kept, wrong, doubt float64 }

// wrong returns the chance that an answer is wrong by the confidence of its model: 0 if it is sure, 1 if it is sure of the opposite. A
// rough opinion says on which side of even odds the model sees the answer; further from the middle it is hardly ever on the
// other side.
func wrong(confidence float64) float64 {
	return (logistic(confidence) - logistic(1)) / (logistic(0) - logistic(1))
}

func logistic(confidence float64) float64 { return 1 / (1 + math.Exp(steepness*(confidence-0.5))) }

// steepness makes an opinion of three quarters mean odds of about twelve to one.
const steepness = 10

// Start returns the index of the model that a request starts with. Models are ordered by size, smallest first. Load is how
// late the servers answer now, as a part of the objective: when they are late, each run takes time from other requests,
// and a large model takes most. Without a second attempt an answer is kept whatever its model says of it.
func (c *Chooser) Start(route string, models []Model, s Size, load float64, second bool) int {
	c.observe(route, s)
	best := len(models) - 1
	dear := dearness(load)
	worth := c.worth(route, s)
	// Answers that the largest model gets wrong are not counted against it, since no other model would do better.
	least := dear*models[best].price(s) + worth*loss(0, models[best].Time)
	for i, m := range models[:len(models)-1] {
		k := key{route, m.Name, false}
		total := dear * m.price(s)
		if second {
			_, next := c.next(route, models, i, s, load)
			total += (1-c.kept(k))*next + c.kept(k)*worth*loss(c.wrong(k), m.Time)
		} else {
			total += worth * loss(c.doubt(k), m.Time)
		}
		if total < least {
			best, least = i, total
		}
	}
	return best
}

// Next returns the index of the model that is asked after an answer of a smaller one was dropped: a larger one that is probably
// right and in time for the least price. A prompt that the largest model reads for longer than the objective is better read by one
// between them, and does not hold up the other requests of its server for so long.
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
			wrong = c.doubt(key{route, models[j].Name, true})
		}
		total := dearness(load)*models[j].price(s) + worth*loss(wrong, models[i].Time+models[j].Time)
		if total < least {
			best, least = j, total
		}
	}
	return best, least
}

// lateLoss is the part of its worth that an answer loses if it comes late.
const lateLoss = 0.7

// Times, as parts of the objective, from which an answer may be late and at which it certainly is: they are rough.
const (
	maybeLate  = 0.7
	surelyLate = 1.3
)

// loss returns the part of its worth that an answer loses that is wrong with a chance and comes after a time.
func loss(wrong, time float64) float64 { return wrong + (1-wrong)*lateLoss*late(time) }

// late returns the chance that an answer comes late by the time in which it is expected.
func late(time float64) float64 { return min(max((time-maybeLate)/(surelyLate-maybeLate), 0), 1) }

// Keep decides whether an answer is passed on, or dropped and asked of a larger model, and learns from it.
func (c *Chooser) Keep(route string, models []Model, a Answer, s Size, load float64) bool {
	keep := a.Model == len(models)-1
	if !keep {
		_, next := c.next(route, models, a.Model, s, load)
		keep = c.worth(route, s)*wrong(a.Confidence) <= next
	}
	if c.seen == nil {
		c.seen = make(map[key]*record)
	}
	k := key{route, models[a.Model].Name, a.Second}
	r := c.seen[k]
	if r == nil {
		r = &record{}
		c.seen[k] = r
	}
	r.all++
	r.doubt += wrong(a.Confidence)
	if keep {
		r.kept++
		r.wrong += wrong(a.Confidence)
	}
	if r.all > memory {
		f := memory / r.all
		r.all, r.kept, r.wrong, r.doubt = r.all*f, r.kept*f, r.wrong*f, r.doubt*f
	}
	return keep
}

// outputWeight is the weight of a generated token, in read ones, in the worth of an answer.
const outputWeight = 10

// Part of an answer's worth that does not depend on its size, and the most that a large one is worth against a usual one.
const (
	fixedPart = 0.3
	mostWorth = 4
)

// worth returns what a right answer of a size is worth: a long text that was read in vain costs its caller more.
func (c *Chooser) worth(route string, s Size) float64 {
	weight := float64(s.Prompt + outputWeight*s.Output)
	usual, ok := c.usual[route]
	if !ok {
		usual = weight
	}
	return c.Worth * min(fixedPart+(1-fixedPart)*weight/max(usual, 1), mostWorth)
}

// observe moves the weight of the usual request of a route.
func (c *Chooser) observe(route string, s Size) {
	weight := float64(s.Prompt + outputWeight*s.Output)
	if c.usual == nil {
		c.usual = make(map[string]float64)
	}
	if usual, ok := c.usual[route]; ok {
		weight = usual + (weight-usual)/usualMemory
	}
	c.usual[route] = weight
}

// usualMemory is the number of requests that the usual weight follows.
const usualMemory = 30

// kept returns the part of a model's answers that are kept.
func (c *Chooser) kept(k key) float64 {
	r := c.seen[k]
	if r == nil {
		return firstKept
	}
	return (r.kept + firstKept*firstWeight) / (r.all + firstWeight)
}

// wrong returns how often a kept answer of a model is wrong, by its own opinion.
func (c *Chooser) wrong(k key) float64 {
	r := c.seen[k]
	if r == nil {
		return firstWrong
	}
	return (r.wrong + firstWrong*firstWeight) / (r.kept + firstWeight)
}

// doubt returns how often an answer of a model is wrong, kept or not, by its own opinion.
func (c *Chooser) doubt(k key) float64 {
	r := c.seen[k]
	if r == nil {
		return firstDoubt
	}
	return (r.doubt + firstDoubt*firstWeight) / (r.all + firstWeight)
}

// Load up to which the price of a run is only its cost, and the factor that it grows by for each unit beyond.
const (
	loadFree = 0.1
	loadGain = 24
)

// dearness returns by how much a load raises the price of every run.
func dearness(load float64) float64 { return 1 + loadGain*max(load-loadFree, 0) }

// price returns the cost of one run.
func (m Model) price(s Size) float64 {
	return m.Cost * (float64(s.Output) + promptPart*float64(s.Prompt)) / 1000
}

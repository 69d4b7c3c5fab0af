package gateway

import (
	"strings"

	"shallotrun/core/catalog"
	"shallotrun/core/models"
)

// ChooseModel is the model of a request that leaves the choice to the gateway.
const ChooseModel = "*"

// leavesModelOpen reports whether the caller leaves the choice of the model to the gateway.
func (r *Request) leavesModelOpen() bool { return strings.TrimSpace(r.Model) == ChooseModel }

// expectedOutputFraction is the expected length of an answer, as a fraction of its token limit, if the caller gives no estimate.
const expectedOutputFraction = 0.3

// chooseModel chooses the model of the first attempt on a route that leaves the choice to the gateway.
func (x *exchange) chooseModel() {
	x.models = x.routeModels()
	if len(x.models) == 0 {
		return
	}
	x.size = models.Size{Prompt: x.request.PromptTokens, Output: x.request.ExpectedTokens}
	if x.size.Output == 0 {
		x.size.Output = int(expectedOutputFraction * float64(x.request.MaxTokens))
	}
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	x.estimateTimes()
	canEscalate := x.repeatable() && x.route.Attempts > 1 && x.pool.budget.RemainingFraction(x.g.Clock.Now()) >= minSpareBudget
	x.modelIndex = x.pool.chooser.Start(x.route.Name, x.models, x.size, x.pool.relativeDelay(x.route.Objective), canEscalate)
	x.model = x.models[x.modelIndex].Name
}

// prefillWeight returns the prefill time of the chosen model as a fraction of that of the largest model. The models' costs are
// taken as proportional to the time that they use on a server.
func (x *exchange) prefillWeight() float64 {
	if len(x.models) == 0 {
		return 1
	}
	largest := x.models[len(x.models)-1].Cost
	if largest <= 0 {
		return 1
	}
	return min(x.models[x.modelIndex].Cost/largest, 1)
}

// estimateTimes sets the expected time to the first event of this request for each model, as a multiple of the objective. The
// caller holds the pool's lock.
func (x *exchange) estimateTimes() {
	if x.route.Objective <= 0 {
		return
	}
	largest := x.models[len(x.models)-1].Cost
	for i := range x.models {
		m := &x.models[i]
		prior := defaultPrefillTime
		if largest > 0 {
			prior *= min(m.Cost/largest, 1)
		}
		m.RelativeTime = (x.pool.prefillTimes.get(m.Name, prior)*x.uncachedTokens() + x.pool.backlog) / float64(x.route.Objective)
	}
}

// cachedFraction is the fraction of the shared prompt tokens that is assumed to be in the prefix caches of the servers.
const cachedFraction = 0.7

// uncachedTokens returns the expected number of prompt tokens that a server has to prefill in an attempt.
func (x *exchange) uncachedTokens() float64 {
	n := float64(x.request.PromptTokens)
	if len(x.request.Parts) > 1 {
		for _, p := range x.request.Parts[:len(x.request.Parts)-1] {
			n -= cachedFraction * float64(p.Tokens)
		}
	}
	return max(n, 0)
}

// prefillTokens returns uncachedTokens weighted as if for the largest model.
func (x *exchange) prefillTokens() int { return int(x.prefillWeight() * x.uncachedTokens()) }

// routeModels returns the models of the route with their costs, smallest first.
func (x *exchange) routeModels() []models.Model {
	out := make([]models.Model, 0, len(x.route.Models))
	for _, name := range x.route.Models {
		out = append(out, models.Model{Name: name, Cost: modelCost(x.spec, name)})
	}
	return out
}

// modelCost returns the cost of a model, 0 if the configuration has none.
func modelCost(spec *catalog.Service, name string) float64 {
	if spec == nil || spec.Engine == nil {
		return 0
	}
	for _, m := range spec.Engine.Models {
		if m.Name == name {
			return m.Cost
		}
	}
	return 0
}

// escalate reports whether an answer, of which nothing was sent to the caller yet, is dropped because of its low confidence, and
// if so chooses the larger model that answers next. The server may have run the request by then, so one that must not be repeated keeps
// its answer.
func (x *exchange) escalate(reply *Reply) bool {
	if len(x.models) == 0 || !x.repeatable() || reply.Confidence == NoConfidence {
		return false
	}
	a := models.Answer{Model: x.modelIndex, Confidence: float64(reply.Confidence) / 100, Escalated: x.escalated}
	x.pool.mu.Lock()
	x.estimateTimes()
	load := x.pool.relativeDelay(x.route.Objective)
	keep := x.pool.chooser.Keep(x.route.Name, x.models, a, x.size, load)
	next := x.pool.chooser.Next(x.route.Name, x.models, x.modelIndex, x.size, load)
	x.pool.mu.Unlock()
	if keep || x.usedAttempts+2 > x.route.Attempts || !x.pool.hasRoom(x) || !x.takeSpareRetry() {
		return false
	}
	x.modelIndex, x.escalated = next, true
	x.model = x.models[x.modelIndex].Name
	return true
}

// takeSpareRetry reports whether an attempt that does not follow a failure is allowed, and takes it from the retry budget.
func (x *exchange) takeSpareRetry() bool {
	now := x.g.Clock.Now()
	return x.attempts < maxAttempts && x.timeLeft(now) > minTimeLeft && x.pool.takeSpareRetry(now)
}

package cascade

import (
	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// Bounds of the state.
const (
	// Kinds is the number of kinds of requests within one cascade.
	Kinds = groups * lengths
	// MaxCascades is the number of cascades whose ratings are kept. Beyond it the one unused for the longest time is dropped.
	MaxCascades = 32

	groups  = 16 // of workspaces, by hash
	lengths = 4  // classes of prompt length
)

// Kind is a bucket of requests that probably need the same stage.
type Kind uint8

// KindOf returns the kind of a request from its workspace and the length of its prompt in bytes.
func KindOf(workspace string, length int) Kind {
	class := 0
	for limit := 256; class < lengths-1 && length >= limit; limit *= 4 {
		class++
	}
	return Kind(xxhash.Sum64String(workspace)%groups*lengths + uint64(class))
}

// Request is a request to a cascade.
type Request struct {
	Cascade       string
	Target        int       // average rating in percent
	AcceptUnrated bool      // fallback without a rating: accept the first answer, as opposed to using the last stage
	Costs         []float64 // of one answer of each stage, in any unit
	Kind          Kind
	RaterDown     bool // the rating service is unavailable at present
}

// Policy is the rule by which stages are chosen.
type Policy interface{ policy() }

// AlwaysFirst always accepts the answer of the first stage. It is a baseline for comparison.
type AlwaysFirst struct{}

// AlwaysLast always starts with the last stage. It is a baseline for comparison.
type AlwaysLast struct{}

// EachStage tries every stage in turn until the rating reaches a threshold. It is a baseline for comparison.
type EachStage struct {
	Threshold int // rating in percent, 0 means the target
}

// Learned starts with the stage that has the best expected quality for its cost, and accepts ratings that keep the average of
// all answers at the target.
type Learned struct {
	// Slack is how many points below the target the rating of a single accepted answer can be; 0 means DefaultSlack, and
	// with a negative value no answer below the target is accepted.
	Slack int
	// HalfLife is the half-life of a rating; 0 means 10 min.
	HalfLife clock.Span
	// Explore is the fraction of the last stage's cost that can be spent on trying cheaper stages again; 0 means 0.02.
	Explore float64
}

// DefaultSlack bounds how bad a single answer can be while the average is on target, in points.
const DefaultSlack = 40

func (AlwaysFirst) policy() {}
func (AlwaysLast) policy()  {}
func (EachStage) policy()   {}
func (Learned) policy()     {}

func (p Learned) slack() int {
	switch {
	case p.Slack < 0:
		return 0
	case p.Slack == 0:
		return DefaultSlack
	}
	return min(p.Slack, pointsBelow)
}

func (p Learned) halfLife() clock.Span {
	if p.HalfLife <= 0 {
		return 10 * clock.Minute
	}
	return p.HalfLife
}

func (p Learned) explore() float64 {
	if p.Explore <= 0 {
		return 0.02
	}
	return p.Explore
}

// last returns the index of the last stage.
func (req Request) last() int { return max(min(len(req.Costs), document.MaxStages)-1, 0) }

// fallback returns the stage that is used without ratings.
func (req Request) fallback() int {
	if req.AcceptUnrated {
		return 0
	}
	return req.last()
}

// cost returns the cost of a stage relative to the last one. If the document has no cost for the last stage, the costs are
// assumed to rise evenly.
func (req Request) cost(stage int) float64 {
	last := req.last()
	if req.Costs[last] <= 0 {
		return float64(stage+1) / float64(last+1)
	}
	return req.Costs[stage] / req.Costs[last]
}

package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"shallotrun/internal/standin/engine"
)

// Tenant is a workspace that sends requests with its API key.
type Tenant struct {
	Name   string
	Key    string
	Weight int // share of the requests, relative to the weights of the others
}

// Mix is the distribution from which requests are drawn. Fractions are between 0 and 1.
type Mix struct {
	RankWeights       [3]int   // weights of urgent, normal and batch
	Models            []string // models, routes and cascades to ask for, drawn evenly
	StreamFraction    float64  // fraction of the chats that is streamed
	SessionFraction   float64  // fraction of the chats that belongs to a session
	PlainFraction     float64  // fraction of all requests that goes to the plain service
	KeyedFraction     float64  // fraction of the non-idempotent calls that has an Idempotency-Key
	DuplicateFraction float64  // fraction of the calls with a key that is sent to two entry VMs at once
	Service           string   // name of the plain service, "" if there is none
	KeyDomains        []string // prefixes of keys, drawn evenly: the failure domain that holds the key's claim, or "" for no prefix
	PromptWords       int      // mean length of a prompt in words, without what the requests of a session have in common
	MaxTokens         int      // max_tokens
	Deadline          int      // Shallot-Deadline in milliseconds, 0 for none
}

// request is one planned request.
type request struct {
	Record
	offset      time.Duration // time from the start of the run to the sending
	prompt      string
	apiKey      string
	firstTarget int // index of the target of the first attempt
	maxTokens   int
	deadline    int    // Shallot-Deadline in milliseconds, 0 for none
	duplicate   bool   // send the call to two entry VMs at once
	pathNumber  uint64 // number of the tag in the path of the request
}

// planner draws requests from a seed. Runs with the same seed and settings send the same requests.
type planner struct {
	Generator
	rand    *rand.Rand
	arrival time.Duration // of the last request, from the start of the run
}

func newPlanner(g Generator) *planner {
	return &planner{Generator: g, rand: rand.New(rand.NewPCG(g.Seed, 7))}
}

// next draws request n. Arrivals are a Poisson process of the given rate.
func (p *planner) next(n int) *request {
	p.arrival += time.Duration(p.rand.ExpFloat64() / p.Rate * float64(time.Second))
	t := p.tenant()
	r := &request{
		offset: p.arrival, apiKey: t.Key, maxTokens: p.Mix.MaxTokens, deadline: p.Mix.Deadline,
		firstTarget: p.rand.IntN(len(p.Targets)),
	}
	r.N, r.Tenant = n, t.Name
	r.Item = fmt.Sprintf("i%d-%d", p.Seed, n)
	r.Rank = []string{"urgent", "normal", "batch"}[p.weightedIndex(p.Mix.RankWeights[:])]
	if p.Mix.Service != "" && p.rand.Float64() < p.Mix.PlainFraction {
		p.plain(r)
		return r
	}
	r.Kind = KindChat
	r.Model = p.Mix.Models[p.rand.IntN(len(p.Mix.Models))]
	r.Stream = p.rand.Float64() < p.Mix.StreamFraction
	if p.rand.Float64() < p.Mix.SessionFraction {
		r.Session = fmt.Sprintf("%s.%s.%d", t.Name, r.Model, p.rand.IntN(8))
	}
	r.prompt = p.prompt(r)
	r.PromptID = engine.PromptID(enginePrompt(r.prompt))
	return r
}

// plain draws a call to the plain service.
func (p *planner) plain(r *request) {
	switch p.rand.IntN(5) {
	case 0, 1:
		r.Kind = KindTag
	case 2:
		r.Kind = KindDispatch
	case 3:
		r.Kind = KindLookup
	case 4:
		r.Kind = KindState
	}
	r.pathNumber = uint64(p.rand.IntN(200) + 1)
	if (r.Kind == KindTag || r.Kind == KindDispatch) && p.rand.Float64() < p.Mix.KeyedFraction {
		r.Key = r.Item
		if len(p.Mix.KeyDomains) > 0 {
			if d := p.Mix.KeyDomains[p.rand.IntN(len(p.Mix.KeyDomains))]; d != "" {
				r.Key = d + "." + r.Item
			}
		}
		r.duplicate = p.rand.Float64() < p.Mix.DuplicateFraction
	}
}

// prompt draws a prompt. The requests of one session have a common prefix, for prefix caches to use.
func (p *planner) prompt(r *request) string {
	var b strings.Builder
	if r.Session != "" {
		b.WriteString("session " + r.Session + strings.Repeat(" summary of the correspondence so far", 10) + " ")
	}
	b.WriteString("item " + r.Item)
	for range p.rand.IntN(2*max(p.Mix.PromptWords, 1)) + 1 {
		b.WriteString(" w")
		b.WriteString(string(rune('a' + p.rand.IntN(26))))
	}
	return b.String()
}

// tenant draws a workspace with a probability in proportion to its weight.
func (p *planner) tenant() Tenant {
	ws := make([]int, len(p.Tenants))
	for i, t := range p.Tenants {
		ws[i] = t.Weight
	}
	return p.Tenants[p.weightedIndex(ws)]
}

// weightedIndex draws an index of ws with a probability in proportion to its weight. If all weights are 0, it returns 0.
func (p *planner) weightedIndex(ws []int) int {
	sum := 0
	for _, w := range ws {
		sum += w
	}
	x := p.rand.IntN(max(sum, 1))
	for i, w := range ws {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

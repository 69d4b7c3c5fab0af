package engine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/internal/standin/ledger"
)

// Faults are the names of the faults of an engine.
var Faults = []string{"error", "refuse", "slow", "silent", "close", "bad", "crash", "leaving", "jumble"}

// Engine is one stand-in model engine. Set the exported fields before Run.
type Engine struct {
	Name            string
	Ledger          *ledger.Ledger
	Models          []string                // loaded at the start, as MODEL@VERSION
	Slots           int                     // generations that run at once
	QueueLimit      int                     // waiting generations beyond which calls are refused
	TokenTime       time.Duration           // time between tokens with a batch of one
	BatchCost       float64                 // fraction of TokenTime added for each further member of the batch
	PrefillTime     time.Duration           // time for each prompt token that is not cached
	CacheBlocks     int                     // blocks of the prefix cache
	ReportInterval  clock.Span              // interval at which the load report is renewed
	EventDelay      clock.Span              // delay of cache events
	EventLoss       float64                 // fraction of the cache events that is lost
	OutputRetention clock.Span              // how long a finished output can be resumed
	LoadTime        time.Duration           // time that loading a model takes
	FetchWeights    func(name string) error // fetches weights before loading; may be nil
	Fenced          bool                    // refuses orders with an old fencing token
	Inexact         bool                    // answers also depend on the engine and the request

	clock       clock.Clock
	mu          sync.Mutex
	wake        chan struct{}
	waiting     []*generation
	running     []*generation
	generations map[string]*generation
	loaded      map[string]bool
	cache       cache
	report      work.Load
	fence       uint64
	orders      map[string]orderReply
	role        string
}

// Run starts the engine, which stops when ctx ends. It has to be called before the handler is used.
func (e *Engine) Run(ctx context.Context) {
	e.init()
	go e.maintain(ctx)
	go e.loop(ctx)
}

func (e *Engine) init() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wake = make(chan struct{}, 1)
	e.generations, e.loaded, e.orders = map[string]*generation{}, map[string]bool{}, map[string]orderReply{}
	for _, m := range e.Models {
		e.loaded[m] = true
	}
	e.cache.capacity = e.CacheBlocks
	e.report = e.load()
	if e.Ledger.Faults.OnChange == nil {
		e.Ledger.Faults.OnChange = map[string]func(ledger.Fault){}
	}
	e.Ledger.Faults.OnChange["crash"] = func(x ledger.Fault) {
		if x.For >= 0 {
			e.crash()
		}
	}
}

// loop admits waiting generations and generates one token for each running generation in each step.
func (e *Engine) loop(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.admit()
		n := len(e.running)
		e.mu.Unlock()
		if n == 0 {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		time.Sleep(e.step(n))
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// step returns how long one step takes with a batch of n.
func (e *Engine) step(n int) time.Duration {
	d := time.Duration(float64(e.TokenTime) * (1 + e.BatchCost*float64(n-1)))
	if f := e.Ledger.Faults.Number("slow"); f > 0 {
		d = time.Duration(float64(d) * f)
	}
	return d
}

// admit starts waiting generations in the free slots, the lowest priority number first. The lock must be held.
func (e *Engine) admit() {
	for len(e.running) < e.Slots && len(e.waiting) > 0 {
		g := slices.MinFunc(e.waiting, func(a, b *generation) int { return a.priority - b.priority })
		e.waiting = remove(e.waiting, g)
		bs := blocks(g.prompt)
		uncached := max(g.promptTokens-e.cache.cachedTokens(bs), 0)
		now := e.clock.Now()
		g.prefillEnd = now.Add(clock.FromStd(time.Duration(uncached) * e.PrefillTime))
		e.cache.add(bs, g.request, g.session, now.Add(e.EventDelay), func() bool {
			return e.EventLoss > 0 && e.Ledger.Faults.Random() < e.EventLoss
		})
		e.running = append(e.running, g)
	}
}

// advance generates a token for each running generation whose prefill has ended. The lock must be held.
func (e *Engine) advance() {
	now := e.clock.Now()
	for _, g := range slices.Clone(e.running) {
		if now.Before(g.prefillEnd) {
			continue
		}
		g.tokens++
		if g.tokens >= g.length {
			e.finish(g, outcomeDone)
		}
		g.notify()
	}
}

// finish ends g and records it in the ledger, unless it has ended already. The lock must be held.
func (e *Engine) finish(g *generation, outcome string) {
	if g.outcome != "" {
		return
	}
	g.outcome, g.ended = outcome, e.clock.Now()
	e.running, e.waiting = remove(e.running, g), remove(e.waiting, g)
	e.Ledger.Add(ledger.Entry{
		Kind: "end", Request: g.request, Model: g.model, Version: g.version, Outcome: outcome,
		Tokens: g.tokens, Prompt: g.promptTokens, Session: g.session, Name: e.Name,
	})
	g.notify()
}

// crash ends all generations and drops all outputs.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range slices.Concat(e.running, e.waiting) {
		e.finish(g, outcomeCrashed)
	}
	clear(e.generations)
}

// maintain renews the load report and drops outputs older than OutputRetention, until ctx ends.
func (e *Engine) maintain(ctx context.Context) {
	tick := time.NewTicker(max(e.ReportInterval, 10*clock.Millisecond).Std())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		e.report = e.load()
		for k, g := range e.generations {
			if g.outcome != "" && g.ended.Add(e.OutputRetention).Before(e.clock.Now()) {
				delete(e.generations, k)
			}
		}
		e.mu.Unlock()
	}
}

func (e *Engine) load() work.Load {
	l := work.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.Slots, At: e.clock.Now()}
	for m := range e.loaded {
		l.Models = append(l.Models, m)
	}
	slices.Sort(l.Models)
	_, l.Leaving = e.Ledger.Faults.Active("leaving")
	return l
}

// text returns token n of g.
func (e *Engine) text(g *generation, n int) string {
	if e.Inexact {
		return TokenText(g.model, g.version, strings.Join([]string{e.Name, g.request, g.prompt}, "\x00"), n)
	}
	return TokenText(g.model, g.version, g.prompt, n)
}

func remove(gs []*generation, g *generation) []*generation {
	return slices.DeleteFunc(gs, func(x *generation) bool { return x == g })
}

package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/clock"
)

// Board holds the orders that change the version of a service. The zero value holds none. All methods may be called
// from several goroutines.
type Board struct {
	// Share is the part of a service's requests that a bad version may get, 0 means 0.15. It is set before the feed runs.
	Share float64

	mu    sync.Mutex
	all   map[string]*canary.Rollout // by object name
	peers map[string][]OrderReport   // the last reports of VMs that follow this one, and of other failure domains
}

// OrderReport is what a VM knows about an order that is running: its results, or the sums of other VMs' results, and its verdict.
type OrderReport struct {
	Service string
	Made    uint64 // revision at which the order was given
	Tallies []canary.Tally
	Times   []canary.Times // the old version's usual ones
	Verdict string         // why the new version is bad, "" for none
}

// Reports returns what this VM has to say about the orders that are running.
func (b *Board) Reports() []OrderReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reports()
}

func (b *Board) reports() (out []OrderReport) {
	for _, r := range b.all {
		if r.Order.State == canary.Running {
			out = append(out, OrderReport{r.Order.Service, r.Order.Made, r.Tallies(), r.Times(), r.Verdict()})
		}
	}
	return out
}

// Answer takes the reports of a VM that follows this one, and returns the sums of all others that this VM knows.
func (b *Board) Answer(from string, reports []OrderReport) []OrderReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(from, reports)
	return b.sums(func(name string) bool { return name != from })
}

// Put takes the sums of another failure domain.
func (b *Board) Put(domain string, reports []OrderReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.take(domainPrefix+domain, reports)
}

// Domain returns the sums of this VM and of those that follow it, for another failure domain.
func (b *Board) Domain() []OrderReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sums(func(name string) bool { return !strings.HasPrefix(name, domainPrefix) })
}

// domainPrefix begins the names under which the reports of other failure domains are kept.
const domainPrefix = "domain "

// take keeps the reports of a VM or failure domain in place of its last ones, and judges by them.
func (b *Board) take(from string, reports []OrderReport) {
	if b.peers == nil {
		b.peers = make(map[string][]OrderReport)
	}
	b.peers[from] = reports
	running := false
	for _, own := range b.reports() {
		running = true
		r := b.all[own.Service]
		r.Merge(b.sum(own, nil, func(string) bool { return true }))
		for _, p := range reports {
			if p.Service == own.Service && p.Made == own.Made {
				r.Adopt(p.Times)
				r.Blame(p.Verdict)
			}
		}
	}
	if !running {
		clear(b.peers)
	}
}

// sums returns this VM's reports with the results of some others added.
func (b *Board) sums(with func(name string) bool) []OrderReport {
	out := b.reports()
	for i := range out {
		out[i].Tallies = b.sum(out[i], out[i].Tallies, with)
	}
	return out
}

// sum adds the results of some others to some tallies.
func (b *Board) sum(w OrderReport, own []canary.Tally, with func(name string) bool) []canary.Tally {
	all := [][]canary.Tally{own}
	for name, reports := range b.peers {
		for _, p := range reports {
			if with(name) && p.Service == w.Service && p.Made == w.Made {
				all = append(all, p.Tallies)
			}
		}
	}
	return canary.Sum(all...)
}

// Learn takes the reports of the VM that this one follows.
func (b *Board) Learn(reports []OrderReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range reports {
		r := b.all[w.Service]
		if r == nil || r.Order.Made != w.Made {
			continue
		}
		r.Adopt(w.Times)
		r.Merge(w.Tallies)
		r.Blame(w.Verdict)
	}
}

// Choose returns those of a service's servers that may get the next request, of a session or of none.
func (b *Board) Choose(now clock.Time, service, session string, all []backend.Server) []backend.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service)
	if r == nil {
		return oldest(all)
	}
	target := split(all, r.Order.Target, true)
	old := split(all, r.Order.Target, false)
	switch {
	case r.Order.State == canary.Done:
		return target
	case r.Order.State == canary.RolledBack || len(target) == 0:
		return old
	case r.Admit(now, position(session, r.Order.Target)):
		return target
	}
	return old
}

// Report takes the result of a request for the order of its service.
func (b *Board) Report(service string, v canary.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.find(service); r != nil {
		r.Report(v)
	}
}

// Overdue takes the time for which a request has waited for its first answer, for the order of its service. It reports
// whether that was counted.
func (b *Board) Overdue(service string, v canary.Result) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(service)
	return r != nil && r.Overdue(v)
}

func (b *Board) find(service string) *canary.Rollout {
	for _, r := range b.all {
		if r.Order.Service == service {
			return r
		}
	}
	return nil
}

// put takes an order as the store has it, and reports whether anything changed.
func (b *Board) put(now, wall clock.Time, o canary.Order) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all == nil {
		b.all = make(map[string]*canary.Rollout)
	}
	r := b.all[o.Service]
	if r == nil || r.Order.Target != o.Target || r.Order.Made != o.Made {
		seen := now
		if age := wall.Sub(o.Started); o.Started != 0 && age > 0 && age < o.Duration {
			seen = now.Add(-age)
		}
		b.all[o.Service] = &canary.Rollout{Order: o, Seen: seen, Share: b.Share}
		return true
	}
	changed := r.Order.State != o.State
	r.Order = o
	return changed
}

func (b *Board) remove(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.all, name)
}

// keep drops the orders that are not among the objects.
func (b *Board) keep(objects []Object) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool)
	for _, o := range objects {
		listed[o.Name] = true
	}
	for name := range b.all {
		if !listed[name] {
			delete(b.all, name)
		}
	}
}

// due returns the orders whose state should change, with the state that they should have.
func (b *Board) due(now, wall clock.Time) (out []canary.Order, reasons []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.all {
		state, reason := r.Decide(now)
		if state == r.Order.State {
			continue
		}
		o := r.Order
		o.State = state
		if o.Started == 0 {
			o.Started = wall
		}
		out, reasons = append(out, o), append(reasons, reason)
	}
	return out, reasons
}

// decideEvery is the interval at which the orders are looked at. Each VM takes a random part of it, so that the others
// mostly see the first one's write before they try their own.
const decideEvery = 300 * clock.Millisecond

// decide writes the state of the orders as far as this VM's results decide it.
func (f *Feed) decide(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, clock.Span(float64(decideEvery)*(0.5+rand.Float64())))
		orders, reasons := f.Orders.due(f.Clock.Now(), f.Clock.Wall())
		for i, o := range orders {
			if o.State == canary.Done && !f.storeSettled() {
				continue
			}
			err := f.Store.SetOrder(ctx, o)
			l := f.Log.Info()
			if err != nil && !errors.Is(err, ErrConflict) {
				l = f.Log.Warn()
			}
			l.Err(err).Str("service", o.Service).Str("version", o.Target).Stringer("state", o.State).Str("reason", reasons[i]).
				Uint64("revision", o.Rev).Msg("feed: order decided")
		}
	}
}

// position returns where a session stands in the sequence in which sessions move to a version, a random one for
// requests without a session.
func position(session, version string) float64 {
	if session == "" {
		return rand.Float64()
	}
	return float64(xxhash.Sum64String(session+" "+version)>>11) / (1 << 53)
}

// settleSpan is how long the store must have answered before an order is finished. A VM that found the new version bad
// writes that as soon as the store answers, and must not come second to one that did not notice.
const settleSpan = 3 * clock.Second

func (f *Feed) storeSettled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.interrupted == 0 || f.Clock.Now().Sub(f.interrupted) >= settleSpan
}

// Interrupted records that what the store says did not reach this VM.
func (f *Feed) Interrupted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupted = f.Clock.Now()
}

// split returns the servers of a version, or those of every other one.
func split(all []backend.Server, version string, same bool) (out []backend.Server) {
	for _, v := range all {
		if (v.Version == version) == same {
			out = append(out, v)
		}
	}
	return out
}

// oldest returns the servers of the version that registered first. Servers of a further version may register before
// the order that lets them have requests is seen.
func oldest(all []backend.Server) []backend.Server {
	if len(all) == 0 {
		return nil
	}
	first := all[0]
	for _, v := range all {
		if v.Made < first.Made {
			first = v
		}
	}
	return split(all, first.Version, true)
}

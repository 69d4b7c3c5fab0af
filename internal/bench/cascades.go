package bench

import (
	"fmt"
	"math/rand/v2"

	"shallotrun/core/cascade"
	"shallotrun/core/clock"
)

const (
	cascadeRequests = 12000
	cascadeThird    = cascadeRequests / 3
	cascadeGap      = 60 // milliseconds between requests, about 16 in a second
	ratingNoise     = 3.0
	ratingMissing   = 0.1
	ratingMean      = 300.0 // milliseconds
	outageFrom      = 8000  // request number; the service is down for 500 requests
	outageTo        = 8500
)

// kind is a class of requests with the quality of the cheap model's answers.
type kind struct {
	name         string
	weight       float64
	mean, spread float64
}

// cascadeRun is one run of a policy over a shifting mix.
type cascadeRun struct {
	chooser *cascade.Chooser
	rand    *rand.Rand
	now     clock.Time
	late    []lateRating

	quality [3]float64 // sums for each third, without the outage
	count   [3]int
	cost    float64
	waits   []float64 // for ratings, in the outage
	astray  int       // requests in the outage that did not end with the fallback stage
}

type lateRating struct {
	at     clock.Time
	kind   string
	stage  int
	rating float64
}

// kinds returns the mix at a request: it shifts to harder work in the middle third, and in the last third the cheap model
// got worse at one class.
func kinds(i int) []kind {
	k := []kind{{"label", 0.45, 95, 5}, {"summary", 0.25, 88, 10}, {"letter", 0.18, 80, 14}, {"specification", 0.12, 55, 18}}
	if i >= cascadeThird {
		k[0].weight, k[1].weight, k[3].weight = 0.3, 0.28, 0.24
	}
	if i >= 2*cascadeThird {
		k[1].mean = 78
	}
	return k
}

// cascades measures quality and cost against the best fixed bound in hindsight and against the costly model alone. The
// mix is the same for both users, so it is measured once for each target.
func cascades(u user, seeds []uint64) []line {
	target := map[string]float64{"gulfcoast": 88, "gorenjska": 92}[u.name]
	rs := each(seeds, func(seed uint64) []float64 {
		got := cascaded(seed, cascade.Learned{}, target, 1)
		first := cascaded(seed, cascade.Learned{}, target, 0)
		costly := cascaded(seed, cascade.Always{Stage: 1}, target, 1)
		best := costly
		for b := 0.0; b <= 100; b++ {
			// The rule in hindsight may use the point of tolerance, too.
			if r := cascaded(seed, cascade.Fixed{Bound: b}, target, 1); r.mean() >= target-1 && r.cost < best.cost {
				best = r
			}
		}
		middle := cascaded(seed, cascade.Fixed{Bound: 80}, target, 1)
		return []float64{got.mean() - target, middle.mean() - target, got.worst() - target, middle.worst() - target,
			got.cost / best.cost, middle.cost / best.cost, got.cost / costly.cost, best.cost / costly.cost,
			max(quantile(got.waits, 1), quantile(first.waits, 1)), quantile(middle.waits, 1), quantile(got.waits, 0.95), quantile(middle.waits, 0.95),
			float64(got.astray + first.astray), float64(middle.astray)}
	})
	row := func(name string, i int, goal float64, least, info bool) line {
		return line{name: fmt.Sprintf("target-%.0f/cascade.%s", target, name), policy: "learned", got: column(rs, i), naive: "fixed-80",
			baseline: column(rs, i+1), goal: goal, least: least, info: info}
	}
	costly := row("cost-ratio-to-costly-model", 6, 0.55, false, false)
	costly.naive = "best-fixed"
	return []line{
		row("quality-minus-target", 0, -1, true, false), row("quality-minus-target-worst-third", 2, -1, true, false),
		row("cost-ratio-to-best-fixed", 4, 1.10, false, false), costly, row("longest-wait-ms-in-outage", 8, 500, false, false),
		row("p95-wait-ms-in-outage", 10, 0, false, true), row("answers-without-fallback-in-outage", 12, 0, false, true),
	}
}

// mean returns the mean quality of the answers.
func (r *cascadeRun) mean() float64 {
	sum, n := 0.0, 0
	for i := range r.count {
		sum += r.quality[i]
		n += r.count[i]
	}
	return sum / float64(n)
}

// worst returns the mean quality of the worst third of the run.
func (r *cascadeRun) worst() float64 {
	w := 100.0
	for i, n := range r.count {
		w = min(w, r.quality[i]/float64(n))
	}
	return w
}

func cascaded(seed uint64, p cascade.Policy, target float64, down int) *cascadeRun {
	r := &cascadeRun{rand: rand.New(rand.NewPCG(seed, 21))}
	r.chooser = &cascade.Chooser{Policy: p, Costs: []float64{1, 6}, Target: target, Down: down, Rand: rand.New(rand.NewPCG(seed, 22))}
	for i := range cascadeRequests {
		r.now += cascadeGap
		r.arrivals()
		r.request(i, down)
	}
	return r
}

// request plays one request. The random numbers of a request do not depend on the decisions.
func (r *cascadeRun) request(i, down int) {
	ks := kinds(i)
	u, k := r.rand.Float64(), 0
	for u > ks[k].weight && k < len(ks)-1 {
		u -= ks[k].weight
		k++
	}
	quality := [2]float64{clamp(ks[k].mean + ks[k].spread*r.rand.NormFloat64()), clamp(94 + 4*r.rand.NormFloat64())}
	size := lognormal(r.rand, 1, 0.4)
	var noise [2]float64
	var delay [2]float64
	for s := range noise {
		noise[s] = ratingNoise * r.rand.NormFloat64()
		delay[s] = lognormal(r.rand, ratingMean, 0.5)
		if r.rand.Float64() < ratingMissing {
			delay[s] = -1
		}
	}
	outage := i >= outageFrom && i < outageTo
	plan := r.chooser.Start(r.now, ks[k].name)
	cost, stage, waited := 0.0, plan.Stage, 0.0
	for more := true; more; {
		cost += r.chooser.Costs[stage] * size
		rated, rating := false, clamp(quality[stage]+noise[stage])
		if delay[stage] >= 0 && !outage {
			rated = delay[stage] <= float64(plan.Wait)
			r.late = append(r.late, lateRating{r.now + clock.Time(delay[stage]), ks[k].name, stage, rating})
		}
		if plan.Wait > 0 && stage == plan.Stage {
			waited = min(delay[stage], float64(plan.Wait))
			if !rated {
				waited = float64(plan.Wait)
				r.chooser.Missed(r.now + clock.Time(plan.Wait))
			}
		}
		var next int
		next, more = r.chooser.Next(r.now, ks[k].name, stage, rating, rated)
		if more {
			stage = next
		}
	}
	if outage {
		r.waits = append(r.waits, waited)
		if stage != down {
			r.astray++
		}
		return
	}
	r.cost += cost
	r.count[i/cascadeThird]++
	r.quality[i/cascadeThird] += quality[stage]
}

// arrivals hands the ratings over that have come by now.
func (r *cascadeRun) arrivals() {
	keep := r.late[:0]
	for _, l := range r.late {
		if l.at > r.now {
			keep = append(keep, l)
			continue
		}
		r.chooser.Rated(l.at, l.kind, l.stage, l.rating)
	}
	r.late = keep
}

func clamp(v float64) float64 { return min(max(v, 0), 100) }

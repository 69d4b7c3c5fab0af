package bench

import (
	"fmt"
	"math/rand/v2"

	"shallotrun/core/queue"
	"shallotrun/core/work"
)

// tenantsLength gives a small tenant about 1,500 requests, enough for a 95th percentile.
const tenantsLength = 1500 * second

// fairness measures a small tenant beside a large one that asks for 20 times its share. All tenants have the same
// weight; each small one asks for half of its share.
func fairness(u user, seeds []uint64) []line {
	share := u.capacity() / tenants
	small := func(i int) source {
		name := fmt.Sprint("small-", i)
		return source{rank: work.Normal, rate: share / 2, to: tenantsLength, tenant: func(*rand.Rand) string { return name }}
	}
	alone := []source{small(0)}
	var full []source
	for i := range tenants - 1 {
		full = append(full, small(i))
	}
	full = append(full, source{rank: work.Normal, rate: 20 * share, to: tenantsLength, tenant: func(*rand.Rand) string { return "large" }})
	ratio := func(p queue.Policy, seed uint64) float64 {
		mine := func(j *job) bool { return j.tenant == "small-0" }
		return quantile(firsts(play(u, p, seed, full), mine), 0.95) / quantile(firsts(play(u, p, seed, alone), mine), 0.95)
	}
	// Half of the fleet would do for all small tenants, so the rest is what the large one should get.
	lent := func(p queue.Policy, seed uint64) float64 {
		return 100 * tokens(play(u, p, seed, full)) / (u.capacity() * meanOut * float64(tenantsLength/second))
	}
	rs := each(seeds, func(seed uint64) []float64 {
		fair := queue.Fair{Reserve: reserved}
		return []float64{ratio(fair, seed), ratio(queue.Strict{}, seed), lent(fair, seed), lent(queue.Strict{}, seed)}
	})
	return []line{
		{name: u.name + "/tenants.small-p95-ratio", policy: "fair", got: column(rs, 0), naive: "strict", baseline: column(rs, 1), goal: 1.3},
		{name: u.name + "/tenants.percent-of-capacity-used", policy: "fair", got: column(rs, 2), naive: "strict", baseline: column(rs, 3), info: true},
	}
}

// tokens returns the tokens of all requests that ended.
func tokens(h *hall) float64 {
	n := 0
	for _, j := range h.done {
		n += j.out
	}
	return float64(n)
}

// column returns the i-th value of each row.
func column(rows [][]float64, i int) []float64 {
	var v []float64
	for _, r := range rows {
		v = append(v, r[i])
	}
	return v
}

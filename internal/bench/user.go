package bench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"shallotrun/core/work"
)

const (
	slotsEach   = 8
	cacheTokens = 180_000 // tokens in the prefix cache of one replica
	meanPrompt  = 400
	meanOut     = 150
	tenants     = 10
)

// user is one of today's users with its size.
type user struct {
	name     string
	domains  []string
	replicas int
	entries  int // entry VMs
}

func users() []user {
	return []user{
		{"gulfcoast", []string{"mobile-a", "biloxi-b", "pensacola-c"}, 12, 8},
		{"gorenjska", []string{"loka-a", "loka-b", "kranj-c"}, 9, 7},
	}
}

// capacity returns the requests per second that the replicas can serve.
func (u user) capacity() float64 {
	service := meanOut*float64(tokenBase+tokenLoad*slotsEach) + meanPrompt*prefillCost
	return float64(u.replicas*slotsEach) * float64(second) / service
}

// source makes arrivals with exponential gaps.
type source struct {
	rank   work.Rank
	tenant func(*rand.Rand) string // nil means one of the tenants at random
	rate   float64                 // requests per second
	from   micros
	to     micros
}

// draw returns a job with lognormal lengths. The router's guess of the output is off by a lognormal factor too.
func draw(rnd *rand.Rand, id int, s source) *job {
	j := &job{id: fmt.Sprint(id), rank: s.rank}
	j.prompt = int(max(lognormal(rnd, meanPrompt, 0.6), 16))
	j.out = int(max(lognormal(rnd, meanOut, 0.5), 1))
	j.guess = int(max(float64(j.out)*lognormal(rnd, 1, 0.3), 1))
	if s.tenant != nil {
		j.tenant = s.tenant(rnd)
	} else {
		j.tenant = fmt.Sprint("tenant-", rnd.IntN(tenants))
	}
	return j
}

// lognormal draws with the given mean.
func lognormal(rnd *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)
}

// feed schedules the arrivals of a source. Each source has its own random numbers, so that one source gives the
// same arrivals whatever else runs.
func (s *sim) feed(seed uint64, index int, src source, arrive func(*job)) {
	rnd := rand.New(rand.NewPCG(seed, uint64(index)))
	n := index * 10_000_000
	var next func()
	gap := func() micros { return micros(rnd.ExpFloat64() / src.rate * float64(second)) }
	next = func() {
		if s.now >= src.to {
			return
		}
		n++
		j := draw(rnd, n, src)
		j.arrived = s.now
		arrive(j)
		s.after(gap(), next)
	}
	s.at(src.from+gap(), next)
}

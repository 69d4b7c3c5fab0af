package cold

import (
	"math"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
)

// propagationTime is how long a server that was warm gets no requests from the VMs that know that it is cold: a second in which the other
// VMs learn of it, as they exchange messages several times a second, and the second of their last requests as to a warm server.
const propagationTime = 2 * clock.Second

// Limit is what a cold server takes now.
type Limit struct {
	Rate     float64    // requests a second from all VMs together
	Extra    int        // slots into which core/share divides the limit beyond those of other limits
	Withheld bool       // VMs may not know yet that the server is cold, so nothing is granted
	Left     clock.Span // how much longer the server is cold
}

// Tracker holds what was seen of the servers of services with a limit for cold ones. The zero value holds nothing.
type Tracker struct {
	// OnChange is called for a server that has become cold, or is not any more; nil for none.
	OnChange func(v backend.Server, cold bool, rate float64)

	servers map[string]*state // by server
}

// state is what was seen of one server, also of an earlier process of it: VMs may know only that one.
type state struct {
	cold   bool
	warmAt clock.Time // when it was last seen warm, 0 for never
	seenAt clock.Time
}

// Update returns the limits of the cold servers by service and server. rates are those of the services with a limit, and servers
// returns the servers of one as they are known now. It is called several times a second.
func (t *Tracker) Update(now clock.Time, rates map[string]float64, servers func(service string) []backend.Server) map[string]map[string]Limit {
	if t.servers == nil {
		t.servers = make(map[string]*state)
	}
	out := make(map[string]map[string]Limit)
	for service, rate := range rates {
		for _, v := range servers(service) {
			s := t.servers[v.ID]
			if s == nil {
				s = &state{}
				t.servers[v.ID] = s
			}
			s.seenAt = now
			if cold := v.Cold > 0; s.cold != cold {
				s.cold = cold
				if t.OnChange != nil {
					t.OnChange(v, cold, rate)
				}
			}
			if !s.cold {
				s.warmAt = now
				continue
			}
			if out[service] == nil {
				out[service] = make(map[string]Limit)
			}
			out[service][v.ID] = Limit{
				Rate: Rate(rate), Extra: extra(rate), Withheld: s.warmAt != 0 && now.Sub(s.warmAt) < propagationTime, Left: v.Cold,
			}
		}
	}
	for id, s := range t.servers {
		if now.Sub(s.seenAt) >= propagationTime {
			delete(t.servers, id)
		}
	}
	return out
}

// A cold server takes half as much again as its rate, and five requests more, in any one second.
const (
	overshoot = 1.5 // times the rate
	slack     = 5   // requests
	// spareSlots is how many slots beyond its rate core/share makes of every limit.
	spareSlots = 3
)

// extra returns the extra slots of a limit: half of what the server takes in a second beyond the other slots. The other half is left to
// VMs that do not know yet that it is cold.
func extra(rate float64) int {
	return max(int((overshoot*rate+slack-math.Ceil(rate)-spareSlots)/2), 0)
}

// Rates between the two would let each of the slots of a limit, of which there are no more than oneUseRate, be used twice in a second.
const (
	oneUseRate = 32
	twoUseRate = 40
)

// Rate returns the limit for a rate that the configuration has, which core/share can keep in any one second.
func Rate(rate float64) float64 {
	if rate > oneUseRate && rate < twoUseRate {
		return oneUseRate
	}
	return rate
}

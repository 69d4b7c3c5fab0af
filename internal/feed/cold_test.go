package feed

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
)

// coldSim plays servers that are cold for a time. VMs learn of their entries from the store, or from the VM that they follow.
type coldSim struct {
	*limitSim
	rate    float64 // that a cold server takes
	entries []storeEntry
	sets    map[*simVM]*backend.Set
	known   map[*simVM]int  // number of entries by VM
	noStore map[*simVM]bool // VMs that do not reach the store
	from    map[string]clock.Time
	until   map[string]clock.Time
	got     map[string][]clock.Time // requests to cold servers
}

// storeEntry is a write of the entry of a server.
type storeEntry struct {
	at      clock.Time
	server  backend.Server
	removed bool
}

// storeLag is the time after which a VM that reads the store knows of a change.
const storeLag = 150 * clock.Millisecond

func newColdSim(seed uint64, domains, vms, servers int, rate, load float64) *coldSim {
	s := &coldSim{
		limitSim: newLimitSim(seed, domains, vms, servers), rate: rate, sets: make(map[*simVM]*backend.Set), known: make(map[*simVM]int),
		noStore: make(map[*simVM]bool), from: make(map[string]clock.Time), until: make(map[string]clock.Time), got: make(map[string][]clock.Time),
	}
	s.load, s.hot = load, 0.25
	s.started = func(v *simVM) {
		set := &backend.Set{}
		s.sets[v], s.known[v] = set, 0
		v.limits.Servers = func(service string) []backend.Server { return set.Servers(s.now, service) }
		v.limits.ColdRates = func() map[string]float64 { return map[string]float64{"s": rate} }
	}
	s.polled = s.learn
	s.sent = func(_ *simVM, id string) {
		if s.now >= s.from[id] && s.now < s.until[id] {
			s.got[id] = append(s.got[id], s.now)
		}
	}
	for _, v := range s.vms {
		s.started(v)
	}
	for _, b := range s.servers {
		s.entries = append(s.entries, storeEntry{at: s.now, server: b})
	}
	s.run(6 * clock.Second)
	return s
}

// learn brings what a VM knows of the servers up to date: from the VM that it follows, or from the store.
func (s *coldSim) learn(v, u *simVM) {
	set, to := s.sets[v], 0
	switch {
	case u != nil:
		to = s.known[u]
	case !s.noStore[v]:
		to, _ = slices.BinarySearchFunc(s.entries, s.now.Add(1-storeLag), func(e storeEntry, at clock.Time) int { return cmp.Compare(e.at, at) })
	}
	for ; s.known[v] < to; s.known[v]++ {
		switch e := s.entries[s.known[v]]; {
		case e.removed:
			set.Remove(s.now, e.server.ID)
		case u != nil:
			set.Put(s.now, s.sets[u].AsOf(s.now, e.server))
		default:
			set.Put(s.now, e.server)
		}
		v.limits.ServersChanged()
	}
}

// chill makes servers cold for a time from now on. A new process of a server has another time of start.
func (s *coldSim) chill(span clock.Span, restart bool, servers ...backend.Server) {
	for _, b := range servers {
		if restart {
			b.Born = int64(s.now)
		}
		b.Cold, b.ColdRev = span, uint64(len(s.entries)+1)
		s.from[b.ID], s.until[b.ID] = s.now, s.now.Add(span)
		s.entries = append(s.entries, storeEntry{at: s.now, server: b})
	}
}

func (s *coldSim) remove(servers ...backend.Server) {
	for _, b := range servers {
		s.entries = append(s.entries, storeEntry{at: s.now, server: b, removed: true})
	}
}

// returning removes servers, which come back cold as new processes.
func (s *coldSim) returning(span clock.Span, servers ...backend.Server) {
	s.remove(servers...)
	s.run(4 * clock.Second)
	s.chill(span, true, servers...)
}

// isolate cuts the first two VMs off from all others and from the store, from before an event until some time after it.
func (s *coldSim) isolate(span clock.Span, event func()) {
	set := func(off bool) {
		for _, v := range s.vms[:2] {
			v.alone, s.noStore[v] = off, off
		}
	}
	set(true)
	event()
	s.run(span)
	set(false)
}

// mostInSecond returns the largest number of requests that a server got in one second while it was cold.
func (s *coldSim) mostInSecond(id string) (most int) {
	for i, first := range s.got[id] {
		n, _ := slices.BinarySearchFunc(s.got[id][i:], first.Add(clock.Second), cmp.Compare)
		most = max(most, n)
	}
	return most
}

// Guards against VMs that together send a cold server more than it takes in a second: servers that start, come back together or become
// cold again, while the VM that divides the limits ends, domains and single VMs are cut off and VMs start again. All VMs count.
func TestColdServersGetNoMoreThanTheyTake(t *testing.T) {
	const span = 6 * clock.Second
	type fleet struct {
		domains, vms, servers int
		seeds                 uint64
	}
	small, medium, large := fleet{3, 3, 12, 2}, fleet{3, 30, 12, 1}, fleet{5, 60, 20, 1}
	// Where servers become cold that VMs know as warm, those get half of the rate that a cold server takes: before a VM knows that a
	// server is cold it can't send less. Without the limit, servers that come back would get more than twice the bound.
	const usual, high = 4.4, 40
	tests := []struct {
		name   string
		load   float64 // requests a second for each server
		fleets []fleet
		event  func(s *coldSim)
	}{
		{"a third comes back", high, []fleet{small, medium, large}, func(s *coldSim) { s.returning(span, s.servers[:4]...) }},
		{"all come back", high, []fleet{small, medium}, func(s *coldSim) { s.returning(span, s.servers...) }},
		{"a third becomes cold again", usual, []fleet{small, medium}, func(s *coldSim) { s.chill(span, false, s.servers[:4]...) }},
		{"all become cold again", usual, []fleet{small, medium}, func(s *coldSim) { s.chill(span, false, s.servers...) }},
		{"again and again", usual, []fleet{small}, func(s *coldSim) {
			for range 6 {
				s.chill(2*clock.Second, false, s.servers[:4]...)
				s.run(2500 * clock.Millisecond)
			}
		}},
		{"cold once more before they are warm", usual, []fleet{small}, func(s *coldSim) {
			for range 4 {
				s.chill(3*clock.Second, false, s.servers[:4]...)
				s.run(2 * clock.Second)
			}
		}},
		{"the divider ends", high, []fleet{small, medium, large}, func(s *coldSim) {
			s.returning(span, s.servers[:4]...)
			s.run(2 * clock.Second)
			s.kill(s.vms[0], 5*clock.Second)
		}},
		{"the divider starts again", high, []fleet{small}, func(s *coldSim) {
			s.returning(2*span, s.servers[:4]...)
			s.run(2 * clock.Second)
			s.kill(s.vms[0], 300*clock.Millisecond)
		}},
		{"a domain is cut off", high, []fleet{small, medium}, func(s *coldSim) {
			s.returning(2*span, s.servers[:4]...)
			s.run(2 * clock.Second)
			s.cut("d0", 4*clock.Second)
		}},
		{"a domain is cut off before", high, []fleet{small}, func(s *coldSim) {
			s.returning(2*span, s.servers[:4]...)
			s.cut("d1", 6*clock.Second)
		}},
		{"VMs that reach neither others nor the store", high, []fleet{small}, func(s *coldSim) {
			s.returning(2*span, s.servers[:4]...)
			s.run(2 * clock.Second)
			s.isolate(4*clock.Second, func() {})
		}},
		{"VMs that reach neither and do not know", usual, []fleet{small}, func(s *coldSim) {
			s.isolate(3*clock.Second, func() { s.returning(span, s.servers[:4]...) })
		}},
		{"all VMs start again", high, []fleet{small, medium}, func(s *coldSim) {
			s.returning(2*span, s.servers...)
			s.run(2 * clock.Second)
			for _, v := range s.vms {
				s.kill(v, clock.Second)
			}
		}},
	}
	for _, tt := range tests {
		for _, f := range tt.fleets {
			for seed := range f.seeds {
				t.Run(fmt.Sprint(tt.name, ", ", f.domains*f.vms, " VMs, seed ", seed), func(t *testing.T) {
					t.Parallel()
					s := newColdSim(seed, f.domains, f.vms, f.servers, 8.8, tt.load*float64(f.servers))
					tt.event(s)
					s.run(span + 4*clock.Second)
					allowed, most := int(1.5*s.rate+5), 0
					for _, b := range s.servers {
						n := s.mostInSecond(b.ID)
						most = max(most, n)
						assert.Check(t, n <= allowed, "%s got %d requests in a second, allowed %d", b.ID, n, allowed)
					}
					t.Logf("at most %d of %d requests in a second", most, allowed)
				})
			}
		}
	}
}

// Guards against cold servers that are hardly used although all requests are for them and nothing else happens: less than half of what
// they take, once the VMs have exchanged messages for two seconds.
func TestColdServersAreUsed(t *testing.T) {
	const span, settle = 10 * clock.Second, 2 * clock.Second
	for _, f := range []struct{ domains, vms, servers int }{{3, 3, 12}, {3, 30, 12}, {5, 60, 20}} {
		t.Run(fmt.Sprint(f.domains*f.vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			s := newColdSim(1, f.domains, f.vms, f.servers, 8.8, 40*float64(f.servers))
			s.returning(span, s.servers...)
			s.run(settle)
			early := s.requestsToCold()
			s.run(span - settle)
			used := s.requestsToCold() - early
			rate := s.rate * float64(f.servers) / float64(clock.Second)
			t.Logf("%d requests in the first 2 s, the budget allows %.0f; %d after it, the budget allows %.0f", early, rate*float64(settle), used, rate*float64(span-settle))
			assert.Check(t, float64(used) >= rate*float64(span-settle)/2)
		})
	}
}

// requestsToCold returns the number of requests that servers got while they were cold.
func (s *coldSim) requestsToCold() (n int) {
	for _, at := range s.got {
		n += len(at)
	}
	return n
}

// Guards against a cold server whose own, lower limit does not count, and against one that gets requests by a limit that is higher than
// what a cold one takes.
func TestLowerOfTwoLimitsCounts(t *testing.T) {
	for _, c := range []struct{ named, want float64 }{{2, 2}, {20, 8.8}} {
		v := backend.Server{ID: "s0", Service: "s", Born: 1, Cold: 3000, ColdRev: 7}
		l := Limits{
			VM: "vm", Log: zerolog.Nop(), Servers: func(string) []backend.Server { return []backend.Server{v} },
			ColdRates: func() map[string]float64 { return map[string]float64{"s": 8.8} },
		}
		l.Init(1)
		l.RecordLimit(1000, 900, v, limit.Notice{Kind: limit.Named, Rate: c.named})
		l.Refresh(1000)
		assert.Equal(t, l.pools["s"].Servers()["s0"], c.want)
		assert.Equal(t, l.Cold(1000)["s"], 1)
	}
}

// Guards against VMs that refuse requests after all of them started again, when no VM divides limits yet: where no server is cold from the
// first moment, and where servers were cold long ago and their entries were never written again no longer than those say.
func TestFleetThatStartsAgainServes(t *testing.T) {
	for _, entry := range []clock.Span{0, 3 * clock.Second} {
		s := newColdSim(1, 3, 3, 12, 8.8, 60)
		if entry > 0 {
			s.chill(entry, false, s.servers...)
			s.run(20 * clock.Second)
		}
		for _, v := range s.vms {
			s.kill(v, clock.Second)
		}
		s.run(clock.Second + 2*simPoll + entry + 2*simPoll)
		clear(s.refused)
		s.run(4 * clock.Second)
		assert.Equal(t, len(s.refused), 0, "refused %v, served %v", s.refused, s.served)
	}
}

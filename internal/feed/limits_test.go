package feed

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/limit"
)

// limitSim plays VMs in failure domains that exchange messages along their tree, and requests to servers that name limits.
type limitSim struct {
	rand    *rand.Rand
	now     clock.Time
	vms     []*simVM
	listed  []Member // VMs with an entry, once all VMs were started
	servers []backend.Server
	rates   map[string]float64 // limit by server, absent for none
	load    float64            // requests a second, to VMs at random
	loss    float64            // part of the messages that are lost
	hot     float64            // part of the requests that are of the first workspace
	starts  map[string][]clock.Time
	used    int         // requests that took a slot or went to a server without a limit
	asked   map[int]int // by workspace
	served  map[int]int
	refused map[int]int
	retries []clock.Span
	answers []simAnswer
	ids     uint64

	started func(v *simVM)            // called when a VM has been started, if it is set
	polled  func(v, u *simVM)         // called when a VM polls, with the VM that it follows or nil, if it is set
	sent    func(v *simVM, id string) // called for a request that is sent to a server, if it is set
}

type simVM struct {
	name, domain string
	limits       *Limits
	told         map[string]clock.Time // by server: when its answer first named a limit to this incarnation
	nextPoll     clock.Time
	downUntil    clock.Time // frozen, or killed and not started yet
	cut          bool       // from the VMs of other domains
	alone        bool       // from all VMs
}

type simAnswer struct {
	at, sent clock.Time
	vm       *simVM
	of       backend.Server
	notice   limit.Notice
}

const (
	simPoll       = 300 * clock.Millisecond
	simStep       = 10 * clock.Millisecond
	simWorkspaces = 4
	// toldSpan is the time after which a VM counts that was told a limit by an answer.
	toldSpan = 500 * clock.Millisecond
)

func newLimitSim(seed uint64, domains, vmsPerDomain, servers int) *limitSim {
	s := &limitSim{
		rand: rand.New(rand.NewPCG(seed, 1)), now: 1000, rates: make(map[string]float64), starts: make(map[string][]clock.Time),
		asked: make(map[int]int), served: make(map[int]int), refused: make(map[int]int),
	}
	for i := range servers {
		s.servers = append(s.servers, backend.Server{ID: fmt.Sprint("s", i), Service: "s", Domain: fmt.Sprint("d", i%domains), Born: 1})
	}
	for i := range domains * vmsPerDomain {
		v := &simVM{name: fmt.Sprint("vm", i), domain: fmt.Sprint("d", i%domains)}
		s.start(v)
		v.nextPoll = s.now.Add(clock.Span(s.rand.IntN(int(simPoll))))
		s.vms = append(s.vms, v)
	}
	return s
}

// start starts a VM anew: it knows nothing.
func (s *limitSim) start(v *simVM) {
	s.ids++
	v.told = make(map[string]clock.Time)
	v.limits = &Limits{
		VM: v.name, Domain: v.domain, Log: zerolog.Nop(),
		Servers: func(string) []backend.Server { return s.servers },
		Members: s.members,
	}
	v.limits.Init(s.ids)
	if s.started != nil {
		s.started(v)
	}
}

// members are the first VMs of each domain.
func (s *limitSim) members() []Member {
	if s.listed != nil {
		return s.listed
	}
	n := make(map[string]int)
	for _, v := range s.vms {
		if n[v.domain]++; n[v.domain] <= 4 {
			s.listed = append(s.listed, Member{Name: v.name, Domain: v.domain})
		}
	}
	return s.listed
}

func (s *limitSim) up(v *simVM) bool { return s.now >= v.downUntil }

func (s *limitSim) reaches(a, b *simVM) bool {
	return s.up(a) && s.up(b) && !a.alone && !b.alone && (a.domain == b.domain || !a.cut && !b.cut)
}

// upstream returns the VM that a VM follows: the first one of its domain that it reaches, or for that one the first of an earlier
// domain; nil for none.
func (s *limitSim) upstream(v *simVM) *simVM {
	for _, u := range s.vms {
		if u == v {
			break
		}
		if u.domain == v.domain && s.reaches(v, u) {
			return u
		}
	}
	for _, u := range s.vms {
		if u.domain < v.domain && s.reaches(v, u) {
			return u
		}
	}
	return nil
}

// step plays one step of the time.
func (s *limitSim) step() {
	s.now = s.now.Add(simStep)
	for _, v := range s.vms {
		if s.up(v) && s.now >= v.nextPoll {
			v.nextPoll = s.now.Add(simPoll)
			s.poll(v)
		}
	}
	s.answers = slices.DeleteFunc(s.answers, func(a simAnswer) bool {
		if a.at > s.now || !s.up(a.vm) {
			return a.at <= s.now
		}
		a.vm.limits.RecordLimit(s.now, a.sent, a.of, a.notice)
		if _, ok := a.vm.told[a.of.ID]; !ok && a.notice.Kind == limit.Named {
			a.vm.told[a.of.ID] = s.now
		}
		return true
	})
	for n := s.load * float64(simStep) / float64(clock.Second); n > 0; n-- {
		if s.rand.Float64() < n {
			s.request()
		}
	}
}

func (s *limitSim) poll(v *simVM) {
	v.limits.Refresh(s.now)
	u := s.upstream(v)
	if s.polled != nil {
		s.polled(v, u)
	}
	if u == nil {
		return
	}
	q := v.limits.Query(s.now, u.name)
	if s.rand.Float64() < s.loss {
		return
	}
	r := u.limits.Reply(s.now, Member{Name: v.name, Domain: v.domain}, q)
	if s.rand.Float64() >= s.loss {
		v.limits.Accept(s.now, u.name, r)
	}
}

// request plays one request at a VM, as internal/gateway treats it.
func (s *limitSim) request() {
	v := s.vms[s.rand.IntN(len(s.vms))]
	if !s.up(v) {
		return
	}
	workspace := 0
	if s.rand.Float64() >= s.hot {
		workspace = 1 + s.rand.IntN(simWorkspaces-1)
	}
	s.asked[workspace]++
	name := fmt.Sprint("w", workspace)
	slots := v.limits.FreeSlots(s.now, "s")
	var in []backend.Server
	unlimited := false
	for _, b := range v.limits.Servers("s") {
		free, named := slots[b.ID]
		unlimited = unlimited || !named
		if free || !named {
			in = append(in, b)
		}
	}
	if len(in) == 0 || !unlimited && !v.limits.MayTake(s.now, "s", name) {
		s.refused[workspace]++
		s.retries = append(s.retries, v.limits.Refuse(s.now, "s", name))
		return
	}
	b := in[s.rand.IntN(len(in))]
	if !v.limits.TakeSlot(s.now, b, name) {
		return
	}
	s.served[workspace]++
	s.used++
	if s.sent != nil {
		s.sent(v, b.ID)
	}
	if told, ok := v.told[b.ID]; ok && s.now.Sub(told) >= toldSpan {
		s.starts[b.ID] = append(s.starts[b.ID], s.now)
	}
	n := limit.Notice{Kind: limit.None}
	if rate, ok := s.rates[b.ID]; ok {
		n = limit.Notice{Kind: limit.Named, Rate: rate}
	}
	s.answers = append(s.answers, simAnswer{s.now.Add(clock.Span(20 + s.rand.IntN(300))), s.now, v, b, n})
}

func (s *limitSim) run(span clock.Span) {
	for end := s.now.Add(span); s.now < end; {
		s.step()
	}
}

// most returns the largest number of requests that a server got in 4 s after a time.
func (s *limitSim) most(server string, since clock.Time) (most int, at clock.Time) {
	all := s.starts[server]
	for i, first := range all {
		if first < since {
			continue
		}
		n, _ := slices.BinarySearchFunc(all[i:], first.Add(4*clock.Second), cmp.Compare)
		if n > most {
			most, at = n, first
		}
	}
	return most, at
}

// allowedInWindow returns the number of requests in 4 s that the platform's rule allows at a limit.
func allowedInWindow(rate float64) int { return int(1.5*4*rate) + 5 }

// Guards against VMs that together send more than a server's limit allows while VMs start, end, freeze and are cut off, while
// limits change, and against limits that are hardly used. All VMs that were told count, also those that were cut off or frozen.
func TestAllVMsTogetherKeepToLimits(t *testing.T) {
	type fleet struct {
		domains, vms, servers int
		seeds                 uint64
	}
	small, large := fleet{3, 3, 6, 3}, fleet{5, 60, 20, 1}
	tests := []struct {
		name  string
		fleet fleet
		rate  float64
		load  float64
		loss  float64
		event func(s *limitSim)
		least float64 // part of the limits that has to be used
	}{
		{"calm", small, 1, 100, 0, nil, 0.25},
		{"calm, large", large, 1, 400, 0, nil, 0.25},
		{"a high limit", small, 20, 300, 0, nil, 0.25},
		{"a low limit", small, 0.3, 100, 0, nil, 0.25},
		{"lost messages", small, 1.4, 100, 0.1, nil, 0.1},
		{"limits change", small, 3, 100, 0, func(s *limitSim) { s.change(1, 2, 3, 0.5, 3) }, 0.1},
		{"the first VM of all ends", small, 1, 100, 0, func(s *limitSim) { s.kill(s.vms[0], 5*clock.Second) }, 0.1},
		{"the first VM of all ends, large", large, 1, 400, 0, func(s *limitSim) { s.kill(s.vms[0], 5*clock.Second) }, 0.1},
		{"the first VM of all freezes", small, 1, 100, 0, func(s *limitSim) { s.vms[0].downUntil = s.now.Add(4 * clock.Second) }, 0.1},
		{"the first VM of all is alone", small, 1, 100, 0, func(s *limitSim) { s.alone(0, 8*clock.Second) }, 0.1},
		{"a domain is cut off", small, 3, 100, 0, func(s *limitSim) { s.cut("d0", 8*clock.Second) }, 0.1},
		{"the last domain is cut off", small, 3, 100, 0, func(s *limitSim) { s.cut("d2", 8*clock.Second) }, 0.1},
		{"a domain is cut off, large", large, 1, 400, 0, func(s *limitSim) { s.cut("d2", 8*clock.Second) }, 0.1},
		{"all VMs start again", small, 1, 100, 0, func(s *limitSim) {
			for _, v := range s.vms {
				s.kill(v, clock.Second)
			}
		}, 0.1},
		{"VMs start again in turn", small, 1, 100, 0, func(s *limitSim) {
			for _, v := range s.vms {
				s.kill(v, 500*clock.Millisecond)
				s.run(2 * clock.Second)
			}
		}, 0.1},
	}
	for _, tt := range tests {
		for seed := range tt.fleet.seeds {
			t.Run(fmt.Sprint(tt.name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				s := newLimitSim(seed, tt.fleet.domains, tt.fleet.vms, tt.fleet.servers)
				s.loss, s.load, s.hot = tt.loss, tt.load, 0.25
				s.run(6 * clock.Second)
				for _, b := range s.servers {
					s.rates[b.ID] = tt.rate
				}
				s.run(3 * clock.Second)
				from := s.now
				s.used = 0
				s.run(6 * clock.Second)
				if tt.event != nil {
					tt.event(s)
				}
				s.run(16 * clock.Second)
				for _, b := range s.servers {
					n, at := s.most(b.ID, from)
					assert.Check(t, n <= allowedInWindow(tt.rate), "%s got %d requests in 4 s from %d on, allowed %d", b.ID, n, at, allowedInWindow(tt.rate))
				}
				all := tt.rate * float64(len(s.servers)) * float64(s.now.Sub(from)) / float64(clock.Second)
				assert.Check(t, float64(s.used) >= tt.least*all, "%d requests, the limits allow %.0f", s.used, all)
			})
		}
	}
}

func (s *limitSim) kill(v *simVM, span clock.Span) {
	s.start(v)
	v.downUntil = s.now.Add(span)
}

func (s *limitSim) alone(i int, span clock.Span) {
	s.vms[i].alone = true
	s.run(span)
	s.vms[i].alone = false
}

func (s *limitSim) cut(domain string, span clock.Span) {
	set := func(cut bool) {
		for _, v := range s.vms {
			if v.domain == domain {
				v.cut = cut
			}
		}
	}
	set(true)
	s.run(span)
	set(false)
}

// change changes the limits of all servers every three seconds. The rates are no higher than at the beginning.
func (s *limitSim) change(rates ...float64) {
	for _, rate := range rates {
		for _, b := range s.servers {
			s.rates[b.ID] = rate
		}
		s.run(3 * clock.Second)
	}
}

// Guards against servers that are used no more than their limit allowed after it has ended, and against requests that are refused
// although a server without a limit is left.
func TestEndOfLimit(t *testing.T) {
	s := newLimitSim(1, 3, 3, 3)
	s.load = 100
	for _, b := range s.servers {
		s.rates[b.ID] = 1
	}
	s.run(15 * clock.Second)
	clear(s.rates)
	s.run(4 * clock.Second)
	clear(s.refused)
	clear(s.served)
	s.run(4 * clock.Second)
	assert.Equal(t, len(s.refused), 0, "refused %v, served %v", s.refused, s.served)

	s.rates[s.servers[0].ID], s.rates[s.servers[1].ID] = 1, 2
	s.run(8 * clock.Second)
	assert.Equal(t, len(s.refused), 0, "refused %v, served %v", s.refused, s.served)
}

// Guards against a workspace with most of the requests that takes what the limits allow, and against times to return that are not
// true: none, or longer than a caller waits. Where each VM has few requests, those of all workspaces have to be served as often.
func TestNoWorkspaceTakesAllOfTheLimits(t *testing.T) {
	tests := []struct {
		vms   int // of each domain
		least func(s *limitSim, workspace, total int) float64
	}{
		{3, func(_ *limitSim, _, total int) float64 { return float64(total) / (2 * simWorkspaces) }},
		{30, func(s *limitSim, w, total int) float64 { return float64(total*s.asked[w]) / float64(4*s.requests()) }},
	}
	for _, tt := range tests {
		s := newLimitSim(1, 3, tt.vms, 6)
		s.load, s.hot = 100, 0.9
		for _, b := range s.servers {
			s.rates[b.ID] = 1
		}
		s.run(10 * clock.Second)
		clear(s.served)
		clear(s.asked)
		s.retries, s.used = nil, 0
		s.run(60 * clock.Second)
		for w := range simWorkspaces {
			assert.Check(t, float64(s.served[w]) >= tt.least(s, w, s.used), "%d VMs: workspace %d got %d of %d", 3*tt.vms, w, s.served[w], s.used)
		}
		for _, r := range s.retries {
			assert.Assert(t, r > 0 && r <= 10*clock.Second, "time to return: %d ms", r)
		}
	}
}

// requests returns the number of requests of all workspaces.
func (s *limitSim) requests() (n int) {
	for _, k := range s.asked {
		n += k
	}
	return n
}

package backend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against a server that gets requests while it takes none from this VM, and against one that gets none although its address or
// name is another incarnation's by now, or although its pause is over and there is no other one.
func TestPauses(t *testing.T) {
	a, b := Server{ID: "a", Born: 1}, Server{ID: "b", Born: 1}
	again := Server{ID: "a", Born: 2}
	for _, c := range []struct {
		name    string
		say     func(s *Pauses)
		in      []Server
		usable  []Server
		wait    clock.Span
		reserve []Server
	}{
		{"nothing said", func(*Pauses) {}, []Server{a, b}, []Server{a, b}, 0, nil},
		{"an answer that says nothing", func(s *Pauses) { s.Record(10, a, 0) }, []Server{a, b}, []Server{a, b}, 0, nil},
		{"paused", func(s *Pauses) { s.Record(10, a, 200) }, []Server{a, b}, []Server{b}, 0, nil},
		{"paused, and a later answer that does not say so", func(s *Pauses) {
			s.Record(10, a, 200)
			s.Record(20, a, 0)
		}, []Server{a, b}, []Server{b}, 0, nil},
		{"started again", func(s *Pauses) { s.Record(10, a, 200) }, []Server{again}, []Server{again}, 0, nil},
		{"pause over", func(s *Pauses) { s.Record(10, a, 90) }, []Server{a}, []Server{a}, 0, nil},
		{"shorter pause", func(s *Pauses) {
			s.Record(10, a, 900)
			s.Record(20, a, 50)
		}, []Server{a}, []Server{a}, 0, nil},
		{"longer pause", func(s *Pauses) {
			s.Record(10, a, 50)
			s.Record(20, a, 500)
		}, []Server{a}, nil, 420, nil},
		{"all paused", func(s *Pauses) {
			s.Record(10, a, 500)
			s.Record(10, b, 300)
		}, []Server{a, b}, nil, 210, nil},
		{"a reserve beside another server", func(s *Pauses) {
			s.Rand = func() float64 { return 0.9 }
			s.Record(10, a, 80)
		}, []Server{a, b}, []Server{b}, 0, []Server{a}},
		{"a reserve beside its next incarnation", func(s *Pauses) {
			s.Rand = func() float64 { return 0.9 }
			s.Record(10, a, 80)
		}, []Server{a, again}, []Server{again}, 0, []Server{a}},
		{"just back from an evacuation", func(s *Pauses) {
			s.Rand = func() float64 { return 0.9 }
			s.Hold(10, a)
		}, []Server{a, b}, []Server{b}, 0, []Server{a}},
		{"back from an evacuation within its pause", func(s *Pauses) {
			s.Record(10, a, 200)
			s.Hold(20, a)
		}, []Server{a}, nil, 110, nil},
		{"back from an evacuation, one attempt open", func(s *Pauses) {
			s.Hold(10, a)
			s.Usable(20, []Server{a})
			s.Start(30, a)
		}, []Server{a, b}, []Server{b}, 0, []Server{a}},
		{"back from an evacuation for long", func(s *Pauses) {
			s.Hold(-30000, a)
			s.Usable(-20000, []Server{a})
		}, []Server{a, b}, []Server{a, b}, 0, nil},
		{"one attempt open", func(s *Pauses) {
			s.Record(10, a, 80)
			s.Start(95, a)
		}, []Server{a, b}, []Server{b}, 0, []Server{a}},
		{"one attempt open, and no other server", func(s *Pauses) {
			s.Record(10, a, 80)
			s.Start(95, a)
		}, []Server{a}, nil, 0, []Server{a}},
		{"one attempt ended, one open", func(s *Pauses) {
			s.Record(10, a, 80)
			s.Start(95, a)
			s.Record(96, a, 0)
			s.Start(97, a)
		}, []Server{a, b}, []Server{a, b}, 0, nil},
		{"an attempt from before the pause ends after it", func(s *Pauses) {
			s.Start(5, a)
			s.Record(10, a, 80)
			s.Record(95, a, 0)
		}, []Server{a, b}, []Server{a, b}, 0, nil},
		{"no attempt ends", func(s *Pauses) {
			s.Record(clock.Time(10-returnTime), a, 80)
			s.Start(clock.Time(95-returnTime), a)
			s.Start(clock.Time(95-returnTime), a)
		}, []Server{a, b}, []Server{a, b}, 0, nil},
	} {
		s := &Pauses{}
		c.say(s)
		usable, reserve, wait := s.Usable(100, c.in)
		assert.Check(t, slices.Equal(usable, c.usable) && slices.Equal(reserve, c.reserve) && wait == c.wait, "%s: %v, %v, %d ms", c.name, usable, reserve, wait)
	}
}

// Guards against pauses that fill the memory of the VM.
func TestPausesAreBounded(t *testing.T) {
	s := &Pauses{}
	for i := range 3 * maxPaused {
		s.Record(clock.Time(i), Server{ID: "a", Born: int64(i)}, clock.Hour)
	}
	assert.Check(t, len(s.paused) <= maxPaused)
}

// attempts are the ends of attempts, the earliest first.
type attempts []attempt

type attempt struct {
	at     clock.Time
	vm, to int
}

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// playPause plays a fleet in which a server turns all VMs away for the same two seconds. Each VM places requests where it has fewest
// itself, as VMs learn of each other's only after a while. It returns the most requests that the server gets in 100 ms in the second
// after its pause, and its number in the five seconds after it.
func playPause(vms, servers, rate int, seed uint64) (most, total int) {
	const (
		begin, end  = clock.Time(3000), clock.Time(5000)
		answerTime  = 200
		window      = 100
		afterwards  = 5_000
		firstSecond = 1000
	)
	random := rand.New(rand.NewPCG(seed, 3))
	var all []Server
	for i := range servers {
		all = append(all, Server{ID: fmt.Sprint(i), Born: 1})
	}
	pauses, inFlight := make([]Pauses, vms), make([]map[string]int, vms)
	for i := range pauses {
		pauses[i].Rand, inFlight[i] = random.Float64, make(map[string]int)
	}
	open, windows, paused := &attempts{}, make(map[int]int), false
	for i := 0; ; i++ {
		now := clock.Time(i * 1000 / rate)
		if now >= end+afterwards {
			break
		}
		for open.Len() > 0 && (*open)[0].at <= now {
			a := heap.Pop(open).(attempt)
			inFlight[a.vm][all[a.to].ID]--
			pauses[a.vm].Record(a.at, all[a.to], 0)
		}
		if now >= begin && !paused {
			paused = true
			for vm := range pauses {
				pauses[vm].Record(now, all[0], end.Sub(now))
			}
		}
		vm := random.IntN(vms)
		in, reserve, _ := pauses[vm].Usable(now, all)
		if len(in) == 0 {
			in = reserve
		}
		v, offset := in[0], random.IntN(len(in))
		for k := range in {
			if c := in[(k+offset)%len(in)]; k == 0 || inFlight[vm][c.ID] < inFlight[vm][v.ID] {
				v = c
			}
		}
		to := slices.Index(all, v)
		pauses[vm].Start(now, v)
		inFlight[vm][v.ID]++
		heap.Push(open, attempt{now.Add(clock.Span(answerTime + random.IntN(answerTime))), vm, to})
		if to == 0 {
			windows[int(now)/window]++
			if now >= end {
				total++
			}
		}
	}
	for w := int(end) / window; w < int(end+firstSecond)/window; w++ {
		most = max(most, windows[w])
	}
	return most, total
}

// Guards against a server that gets a burst of requests at the end of its pause, from a VM with many or from many VMs at once, and
// against one that comes back into use too slowly.
func TestPauseEndsWithoutABurst(t *testing.T) {
	for _, c := range []struct{ vms, servers, rate int }{{9, 15, 900}, {300, 100, 1600}} {
		usual := float64(c.rate) / float64(c.servers) // a second
		for seed := range uint64(4) {
			most, total := playPause(c.vms, c.servers, c.rate, seed)
			assert.Check(t, float64(most) <= 0.2*usual+4, "%d VMs, seed %d: %d requests in 100 ms, usually %.1f", c.vms, seed, most, usual/10)
			assert.Check(t, float64(total) >= 4*usual, "%d VMs, seed %d: %d requests in 5 s, usually %.1f", c.vms, seed, total, 5*usual)
		}
	}
}

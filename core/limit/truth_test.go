package limit

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
)

// answer is a request to a server and, once given, what its answer says.
type answer struct {
	vm, server int
	sent       clock.Time
	given      clock.Time // 0 while the server has not answered
	received   bool
	Notice
}

// world is a tree of VMs, servers that begin and end to name limits, and requests under way. Its times are the true ones; each VM's
// clock differs by a constant.
type world struct {
	now     clock.Time
	tables  []*Table
	offsets []clock.Span
	limits  []Notice // what each server names now
	answers []*answer
}

func newWorld(t *rapid.T) *world {
	w := &world{now: 1_000_000}
	for i := range rapid.IntRange(1, 5).Draw(t, "vms") {
		w.tables = append(w.tables, newTable(uint64(i+1)))
		w.offsets = append(w.offsets, clock.Span(rapid.IntRange(0, 900_000).Draw(t, "offset")))
	}
	for range rapid.IntRange(1, 2).Draw(t, "servers") {
		w.limits = append(w.limits, Notice{Kind: None})
	}
	return w
}

func (w *world) clock(vm int) clock.Time { return w.now.Add(w.offsets[vm]) }

func (w *world) server(i int) Server { return Server{Service: "s", ID: fmt.Sprint(i), Born: 1} }

func (w *world) send(vm, server int) *answer {
	w.now++
	a := &answer{vm: vm, server: server, sent: w.now}
	w.answers = append(w.answers, a)
	return a
}

func (w *world) give(a *answer) {
	w.now++
	a.given, a.Notice = w.now, w.limits[a.server]
}

func (w *world) receive(a *answer) {
	w.now++
	a.received = true
	w.tables[a.vm].Record(w.clock(a.vm), a.sent.Add(w.offsets[a.vm]), w.server(a.server), a.Notice)
}

func (w *world) exchange(vm int, lost bool) {
	w.now++
	parent := (vm - 1) / 2
	r := w.tables[parent].Reply(w.clock(parent), w.tables[vm].Query(w.clock(vm)))
	if !lost {
		w.tables[vm].Accept(w.clock(vm), r)
	}
}

// limited reports whether a VM must know that a server has a limit: an answer to this VM named one, and no answer to any VM that the
// server gave later was without one.
func (w *world) limited(vm, server int) bool {
	var named, none clock.Time
	for _, a := range w.answers {
		switch {
		case a.server != server || !a.received:
		case a.Kind == Named && a.vm == vm:
			named = max(named, a.given)
		case a.Kind == None:
			none = max(none, a.given)
		}
	}
	return named > none
}

// left reports whether an answer to a VM said that a server leaves.
func (w *world) left(vm, server int) bool {
	return slices.ContainsFunc(w.answers, func(a *answer) bool {
		return a.vm == vm && a.server == server && a.received && a.Kind == Leaving
	})
}

// Guards against a server that leaves and is forgotten, and against a limit that is ended by an answer which the server gave before it named the limit, however late and over whichever VM
// that arrives, and against limits that are kept or unknown after every VM had an answer of the server.
func TestTablesFollowTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(clock.Span(rapid.IntRange(0, 400).Draw(t, "time")))
			switch pick(5, "step") {
			case 0:
				n := Notice{Kind: None}
				switch pick(5, "notice") {
				case 0, 1:
					n = Notice{Kind: Named, Rate: float64(pick(3, "rate"))}
				case 2:
					n.Kind = Leaving
				}
				if i := pick(len(w.limits), "server"); w.limits[i].Kind != Leaving {
					w.limits[i] = n
				}
			case 1:
				w.send(pick(len(w.tables), "vm"), pick(len(w.limits), "server"))
			case 2, 3:
				if len(w.answers) == 0 {
					continue
				}
				switch a := w.answers[pick(len(w.answers), "answer")]; {
				case a.given == 0:
					w.give(a)
				case !a.received:
					w.receive(a)
				}
			case 4:
				if len(w.tables) > 1 {
					w.exchange(1+pick(len(w.tables)-1, "follower"), rapid.Bool().Draw(t, "lost"))
				}
			}
			for vm, table := range w.tables {
				for s := range w.limits {
					_, ok := table.Get(w.server(s))
					leaves := table.Leaving(w.server(s))
					assert.Assert(t, leaves || !w.left(vm, s), "VM %d does not know that server %d leaves", vm, s)
					assert.Assert(t, !leaves || w.limits[s].Kind == Leaving, "VM %d takes server %d for one that leaves", vm, s)
					assert.Assert(t, ok || leaves || !w.limited(vm, s), "VM %d does not know the limit of server %d", vm, s)
				}
			}
		}
		for _, a := range w.answers {
			if a.given == 0 {
				w.give(a)
			}
			if !a.received {
				w.receive(a)
			}
		}
		for vm := range w.tables {
			for s := range w.limits {
				a := w.send(vm, s)
				w.give(a)
				w.receive(a)
			}
		}
		for range 2*len(w.tables) + 4 {
			for vm := 1; vm < len(w.tables); vm++ {
				w.exchange(vm, false)
			}
		}
		for vm, table := range w.tables {
			for s, n := range w.limits {
				rate, ok := table.Get(w.server(s))
				assert.Assert(t, table.Leaving(w.server(s)) == (n.Kind == Leaving), "VM %d, server %d: %+v", vm, s, n)
				assert.Assert(t, ok == (n.Kind == Named) && rate == n.Rate, "VM %d: %v %v, server %d: %+v", vm, rate, ok, s, n)
			}
		}
	})
}

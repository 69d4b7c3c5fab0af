package member

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

const beat = clock.Second

// fleet is a few views joined by a lossless network that a test may cut.
type fleet struct {
	now  clock.Time
	vms  map[string]*Fleet
	cut  func(from, to string) bool
	rows []work.VM
	sent int // commands of one VM, for the cost
}

func grow(domains, size int) *fleet {
	f := &fleet{vms: map[string]*Fleet{}, cut: func(string, string) bool { return false }}
	for d := range domains {
		for i := range size {
			dom := fmt.Sprintf("d%d", d)
			name := fmt.Sprintf("%s-%d", dom, i)
			f.rows = append(f.rows, work.VM{Name: name, Peer: name + ":1", Domain: dom, Kind: work.KindEntry})
			f.start(name, dom, 1)
		}
	}
	return f
}

func (f *fleet) start(name, domain string, inc uint64) {
	v := &Fleet{Self: Record{Name: name, Peer: name + ":1", Domain: domain, Inc: inc, State: Serving}, Beat: beat}
	v.Step(f.now, Listed{VMs: f.rows})
	f.vms[name] = v
}

func (f *fleet) run(t interface{ Helper() }, s clock.Span) {
	t.Helper()
	for end := f.now.Add(s); f.now < end; f.now = f.now.Add(beat / 2) {
		for n, v := range f.vms {
			f.carry(n, v.Step(f.now, Tick{}))
		}
	}
}

func (f *fleet) carry(from string, cs []Command) {
	for _, c := range cs {
		var to string
		var in Input
		switch c := c.(type) {
		case SendBeat:
			to, in = c.To, Heard{Name: from, Inc: f.vms[from].Self.Inc, Beat: c.Beat}
		case SendView:
			to, in = c.To, Viewed{Name: from, View: c.View}
		default:
			continue
		}
		f.sent++
		if v := f.vms[to]; v != nil && !f.cut(from, to) {
			f.carry(to, v.Step(f.now, in))
		}
	}
}

// Guards against views that disagree for ever after a restart, a loss and a planned stop, within a domain
// and between domains.
func TestViewsConverge(t *testing.T) {
	f := grow(3, 4)
	f.run(t, 10*beat)
	all := func(name string, want State) {
		t.Helper()
		for n, v := range f.vms {
			assert.Equal(t, v.State(f.now, name), want, "%s about %s", n, name)
		}
	}
	for n := range f.vms {
		all(n, Serving)
	}
	delete(f.vms, "d1-2")
	f.run(t, 30*beat)
	all("d1-2", Gone)
	f.start("d1-2", "d1", 2)
	f.run(t, 20*beat)
	all("d1-2", Serving)
	f.carry("d2-0", f.vms["d2-0"].Declare(f.now, Leaving))
	f.run(t, 15*beat)
	all("d2-0", Leaving)
}

// Guards against a cut-off domain that loses its own view, and against a cut that outlasts its repair.
func TestPartitionOfADomain(t *testing.T) {
	f := grow(3, 3)
	f.run(t, 10*beat)
	f.cut = func(a, b string) bool { return (a[:2] == "d0") != (b[:2] == "d0") }
	f.run(t, 60*beat)
	assert.Equal(t, f.vms["d0-0"].State(f.now, "d0-1"), Serving)
	assert.Equal(t, f.vms["d0-0"].State(f.now, "d1-1"), Gone)
	assert.Equal(t, f.vms["d1-0"].State(f.now, "d2-1"), Serving)
	f.cut = func(string, string) bool { return false }
	f.run(t, 60*beat)
	for n, v := range f.vms {
		assert.Equal(t, len(v.Names(f.now, "d0"))+len(v.Names(f.now, "d1")), 6, n)
	}
}

// Guards against a VM whose address is only in the settings of others: the record travels with the beats.
func TestUnlistedVMBecomesKnown(t *testing.T) {
	f := grow(1, 3)
	f.start("d0-9", "d0", 1)
	f.run(t, 20*beat)
	assert.Equal(t, f.vms["d0-1"].State(f.now, "d0-9"), Serving)
}

// Guards against a merge that depends on the order of messages, or that reverts a later declaration.
func TestMergeIsAMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Name: "a", Peer: "p", Domain: "d", Inc: rapid.Uint64Range(0, 3).Draw(t, "inc"),
				State: State(rapid.IntRange(0, int(Gone)).Draw(t, "state")),
			}
		}), 1, 10).Draw(t, "records")
		last := func(rs []Record) Record {
			f := &Fleet{Self: Record{Name: "self", Domain: "d"}, Beat: beat}
			f.Step(0, Tick{})
			var high Record
			for i, r := range rs {
				f.merge(0, r)
				if got, _ := f.Find("a"); i > 0 && high.newer(got) {
					t.Fatalf("%v reverted to %v", high, got)
				}
				high, _ = f.Find("a")
			}
			return high
		}
		if a, b := last(rs), last(rapid.Permutation(rs).Draw(t, "order")); a != b {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// Guards against a cost per VM that grows with the fleet: at twice the domains' size only the own domain's
// heartbeats may double, and with more VMs in other domains nothing grows.
func TestCostFollowsTheDomain(t *testing.T) {
	cost := func(domains, size int) float64 {
		f := grow(domains, size)
		f.run(t, 20*beat)
		f.sent = 0
		f.run(t, 20*beat)
		return float64(f.sent) / 20 / float64(domains*size)
	}
	assert.Assert(t, cost(4, 10) <= float64(9+2*2*3)*1.05)
	assert.Assert(t, cost(4, 20) <= float64(19+2*2*3)*1.05)
}

// Guards against a rendezvous order that moves other names when one goes.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 2, 20, rapid.ID).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		all := Rank(key, names, len(names))
		gone := rapid.SampledFrom(names).Draw(t, "gone")
		var rest, want []string
		for _, n := range names {
			if n != gone {
				rest = append(rest, n)
			}
		}
		for _, n := range all {
			if n != gone {
				want = append(want, n)
			}
		}
		assert.DeepEqual(t, Rank(key, rest, len(rest)), want)
	})
}

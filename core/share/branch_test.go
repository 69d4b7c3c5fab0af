package share

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"shallotrun/core/clock"
)

// Guards against slots that let more requests through than the platform allows at a limit: one and a half times the rate and five
// more in four seconds.
func TestRateSlots(t *testing.T) {
	const window = 4 * clock.Second
	for _, rate := range []float64{0, 0.05, 0.1, 0.3, 0.9, 1, 1.3, 2, 7.5, 20, 31, 100, 1000, 1e6} {
		slots, hold := RateSlots(rate, 0)
		assert.Assert(t, slots > 0 && hold > 0, "%v", rate)
		most := slots * (int((window-1)/hold) + 1)
		assert.Check(t, float64(most) <= 1.5*rate*4+5, "%v a second: %d requests in 4 s", rate, most)
		used := float64(slots) / float64(hold) * float64(clock.Second)
		assert.Check(t, used <= max(rate, minRate)*1.001, "%v a second: %v", rate, used)
	}
}

// Guards against an owner that grants the slots which a server has lost to others while they are still in use.
func TestServerWithFewerSlots(t *testing.T) {
	o := &Owner{Name: "o", Polled: true, Servers: map[string]int{"s": 4}}
	a, b := &Holder{VM: "a"}, &Holder{VM: "b"}
	poll := func(now clock.Time, h *Holder, waiting int) {
		r := h.Report(now, o.Name, Report{Waiting: [3]int{0, 0, waiting}})
		g, ok := o.Poll(now, r)
		assert.Check(t, ok)
		assert.Check(t, h.accept(now, g))
	}
	poll(1000, a, 9)
	assert.Equal(t, a.slots["s"], 4)
	o.setServers(map[string]int{"s": 1})
	poll(1200, b, 9)
	assert.Equal(t, b.slots["s"], 0, "a still has four slots")
	poll(1300, a, 0)
	poll(1500, b, 9)
	assert.Equal(t, fmt.Sprint(a.slots["s"], b.slots["s"]), "0 0")
	poll(1800, a, 0)
	poll(1900, b, 9)
	assert.Equal(t, fmt.Sprint(a.slots["s"], b.slots["s"]), "0 1")
}

// Guards against a part that lasts longer than the one that it comes from.
func TestGrantEndsWithOwnersRight(t *testing.T) {
	o := &Owner{Name: "o", Polled: true, Servers: map[string]int{"s": 4}, Until: 1500}
	h := &Holder{VM: "h"}
	g, ok := o.Poll(1000, h.Report(1000, "o", Report{Waiting: [3]int{0, 0, 9}}))
	assert.Check(t, ok && h.accept(1000, g))
	assert.Equal(t, h.Slots(1499, "s", 0, 1), 4)
	assert.Equal(t, h.Slots(1500, "s", 0, 1), 0)
}

// Guards against two VMs that divide the limits of the same domain.
func TestOwnership(t *testing.T) {
	known := map[string][]string{"d0": {"a", "b", "c"}, "d1": {"x", "y"}}
	type poll struct {
		domain, vm string
		majority   bool
	}
	tests := []struct {
		name  string
		top   bool
		polls []poll
		want  string // of d0, d1 and a domain without VMs
	}{
		{"alone", true, nil, "false false false"},
		{"most VMs of the domain", true, []poll{{"d0", "b", false}}, "true false true"},
		{"follows another VM", false, []poll{{"d0", "b", false}}, "false false false"},
		{"with the other domain", true, []poll{{"d0", "b", false}, {"d1", "x", true}}, "true true true"},
		{"the other domain has no majority", true, []poll{{"d0", "b", false}, {"d1", "x", false}}, "true false true"},
		{"without its own", true, []poll{{"d1", "x", true}}, "false true false"},
	}
	for _, tt := range tests {
		o := &Ownership{VM: "a", Domain: "d0"}
		now := clock.Time(1000)
		play := func(span clock.Span) {
			for end := now.Add(span); now < end; now = now.Add(300) {
				for _, p := range tt.polls {
					o.Saw(now, p.domain, p.vm, p.majority)
				}
				o.Update(now, known, tt.top)
			}
		}
		owned := func() string { return fmt.Sprint(o.Owns(now, "d0"), o.Owns(now, "d1"), o.Owns(now, "d9")) }
		play(takeover - 300)
		assert.Equal(t, owned(), "false false false", "%s, at the beginning", tt.name)
		play(900)
		assert.Equal(t, owned(), tt.want, tt.name)
		now = now.Add(presence + 1)
		o.Update(now, known, tt.top)
		assert.Equal(t, owned(), "false false false", "%s, after a suspension", tt.name)
	}
}

// Guards against half of a domain that divides its limits beside the other half, and against halves of which neither does.
func TestMajority(t *testing.T) {
	known := map[string][]string{"d": {"a", "b"}}
	first, second := &Ownership{VM: "a", Domain: "d"}, &Ownership{VM: "b", Domain: "d"}
	first.Update(1000, known, true)
	second.Update(1000, known, true)
	assert.Equal(t, fmt.Sprint(first.Majority(), second.Majority()), "true false")
}

// Guards against a server whose slots were reduced and that keeps more holders than it has slots, because slots of another server of the
// pool were taken back in place of its own.
func TestOnlyTheReducedServersSlotsAreTakenBack(t *testing.T) {
	o := &Owner{Name: "o", Polled: true, Servers: map[string]int{"s": 4, "t": 4}}
	h := &Holder{VM: "h"}
	poll := func(now clock.Time) {
		g, ok := o.Poll(now, h.Report(now, o.Name, Report{Waiting: [3]int{0, 0, 20}}))
		assert.Check(t, ok && h.accept(now, g))
	}
	poll(1000)
	assert.DeepEqual(t, h.slots, map[string]int{"s": 4, "t": 4})
	o.setServers(map[string]int{"s": 1, "t": 4})
	poll(1300)
	assert.DeepEqual(t, h.slots, map[string]int{"s": 1, "t": 4})
}

// Guards against a server that takes the place of another one with the same slots and whose slots are granted to nobody, because the slots
// of the removed one still count as those of their holders.
func TestSlotsOfServerThatReplacesAnother(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after map[string]int
	}{
		{"the only server", map[string]int{"s": 6}, map[string]int{"t": 6}},
		{"one of two", map[string]int{"s": 6, "u": 6}, map[string]int{"t": 6, "u": 6}},
		{"with fewer slots", map[string]int{"s": 6, "u": 9}, map[string]int{"t": 3, "u": 9}},
		{"with more slots", map[string]int{"s": 6}, map[string]int{"t": 12}},
		{"two of two", map[string]int{"s": 6, "u": 3}, map[string]int{"t": 3, "v": 6}},
	} {
		o := &Owner{Name: "o", Polled: true, Servers: tt.before}
		holders := []*Holder{{VM: "a"}, {VM: "b"}, {VM: "c"}}
		now := clock.Time(1000)
		poll := func(times int) {
			for range times {
				now = now.Add(300)
				for _, h := range holders {
					g, ok := o.Poll(now, h.Report(now, o.Name, Report{Waiting: [3]int{0, 0, 20}}))
					assert.Check(t, ok && h.accept(now, g), tt.name)
				}
			}
		}
		held := func() map[string]int {
			out := make(map[string]int)
			for _, h := range holders {
				for s, n := range h.slots {
					out[s] += n
				}
			}
			return out
		}
		poll(5)
		assert.Check(t, is.DeepEqual(held(), tt.before), tt.name)
		o.setServers(tt.after)
		poll(4)
		assert.Check(t, is.DeepEqual(held(), tt.after), tt.name)
	}
}

package share

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Guards against slots that are granted twice when messages are lost, late or out of order, or when a new owner takes over
// without any state.
func TestGrantsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := map[string]int{"s1": 8, "s2": 5}
		members := []string{"a", "b", "c", "d"}
		owner := &Owner{Name: "a", Servers: servers, Members: members, Policy: Demand{Reserve: rapid.IntRange(0, 3).Draw(t, "reserve")}}
		holders := map[string]*Holder{}
		for _, m := range members {
			holders[m] = &Holder{VM: m}
		}
		var reports []Report
		var grants []Grant
		now := clock.Time(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "call") {
			case 0, 1, 2:
				h := holders[rapid.SampledFrom(members).Draw(t, "holder")]
				if rapid.Bool().Draw(t, "give") {
					h.GiveBack("s1", 0)
				}
				a := Report{Waiting: [work.Ranks]int{rapid.IntRange(0, 9).Draw(t, "urgent"), 0, rapid.IntRange(0, 9).Draw(t, "batch")}, Running: map[string]int{}}
				for s, n := range servers {
					a.Running[s] = rapid.IntRange(0, min(n, h.slots[s])).Draw(t, "running")
				}
				reports = append(reports, h.Report(now, owner.Name, a))
			case 3, 4, 5:
				if len(reports) > 0 {
					a := rapid.SampledFrom(reports[max(0, len(reports)-6):]).Draw(t, "ask")
					// Messages older than the validity cannot arrive, because their connection was closed.
					if a.Owner == owner.Name && now.Sub(holders[a.VM].sentAt[a.Num%16]) < GrantValidity/8 {
						grants = append(grants, owner.Report(now, a)...)
					}
				}
			case 6, 7:
				if len(grants) > 0 {
					g := rapid.SampledFrom(grants[max(0, len(grants)-6):]).Draw(t, "grant")
					holders[g.VM].Grant(now, g)
				}
			case 8:
				now = now.Add(clock.Span(rapid.IntRange(0, 900).Draw(t, "step")))
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					owner = &Owner{Name: owner.Name + "'", Servers: servers, Members: members}
				}
			}
			for s, n := range servers {
				used := 0
				for _, h := range holders {
					if now < h.validUntil {
						used += h.slots[s]
					}
				}
				assert.Assert(t, used <= n, "%d of %d slots of %s granted", used, n, s)
			}
		}
	})
}

// Guards against a division that violates the order of ranks, the minimum shares or equality, or loses slots.
func TestDivide(t *testing.T) {
	tests := []struct {
		policy Policy
		total  int
		wants  [][work.Ranks]int
		want   string
	}{
		{Equal{}, 10, [][work.Ranks]int{{9, 0, 0}, {0, 0, 0}, {0, 0, 0}}, "[4 3 3]"},
		{Demand{}, 10, [][work.Ranks]int{{2, 0, 0}, {0, 0, 50}}, "[2 8]"},
		{Demand{}, 20, [][work.Ranks]int{{50, 0, 0}, {0, 50, 0}, {0, 0, 50}}, "[17 2 1]"},
		{Demand{}, 20, [][work.Ranks]int{{50, 0, 0}, {50, 0, 0}, {3, 0, 0}}, "[9 8 3]"},
		{Demand{Reserve: 4}, 20, [][work.Ranks]int{{0, 0, 50}, {0, 0, 50}}, "[8 8]"},
		{Demand{Reserve: 4}, 20, [][work.Ranks]int{{9, 0, 50}, {0, 0, 50}}, "[13 3]"},
		{Demand{}, 10, [][work.Ranks]int{{1, 0, 0}, {0, 0, 0}}, "[6 4]"},
		{Demand{}, 10, nil, "[]"},
	}
	for _, tt := range tests {
		got, _ := divide(tt.policy, tt.total, tt.wants)
		assert.Equal(t, fmt.Sprint(got), tt.want, "%T %v", tt.policy, tt.wants)
	}
}

// Guards against holders without an owner that stop serving, or that together use more than the slots.
func TestFallback(t *testing.T) {
	h := &Holder{VM: "a"}
	assert.Equal(t, h.Slots(0, "s", 8, 3), 2)
	a := h.Report(100, "o", Report{})
	assert.Check(t, h.Grant(200, Grant{VM: "a", Owner: "o", Seq: 1, Num: a.Num, Slots: map[string]int{"s": 7}, Span: GrantValidity}))
	assert.Check(t, !h.Grant(200, Grant{VM: "a", Owner: "old", Seq: 9, Num: a.Num, Span: GrantValidity}))
	assert.Check(t, !h.Grant(200, Grant{VM: "a", Owner: "o", Seq: 1, Num: a.Num, Span: GrantValidity}))
	assert.Equal(t, h.Slots(clock.Time(99+GrantValidity), "s", 8, 3), 7)
	assert.Equal(t, h.Slots(clock.Time(100+GrantValidity), "s", 8, 3), 2)
}

// Guards against VMs that choose different owners for a pool, and against one owner for all pools.
func TestRendezvous(t *testing.T) {
	owners := map[string]bool{}
	for i := range 50 {
		pool := fmt.Sprint("pool-", i)
		o := RendezvousOwner(pool, []string{"a", "b", "c"})
		assert.Equal(t, o, RendezvousOwner(pool, []string{"c", "a", "b"}))
		owners[o] = true
	}
	assert.Equal(t, len(owners), 3)
}

// Guards against slots that are granted twice because another server of the pool has gone.
func TestSlotsOfOthersWhenAServerGoes(t *testing.T) {
	o := &Owner{Name: "o", Servers: map[string]int{"s1": 4, "s2": 4}, Members: []string{"a", "b"}}
	a, b := &Holder{VM: "a"}, &Holder{VM: "b"}
	now := clock.Time(1000)
	report := func(h *Holder, waiting int) (out []Grant) {
		now = now.Add(50)
		return o.Report(now, h.Report(now, "o", Report{Waiting: [work.Ranks]int{0, 0, waiting}}))
	}
	grant := func(h *Holder, in []Grant) {
		for _, g := range in {
			if g.VM == h.VM {
				h.Grant(now, g)
			}
		}
	}
	for range 3 {
		grant(b, report(b, 0))
		grant(a, report(a, 20))
	}
	assert.Check(t, a.slots["s2"] > 2)
	o.Servers = map[string]int{"s2": 4}
	grant(b, report(b, 20)) // the messages to a are lost
	grant(b, report(b, 20))
	assert.Check(t, a.slots["s2"]+b.slots["s2"] <= 4, "%d and %d of 4 slots", a.slots["s2"], b.slots["s2"])
}

package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
)

// exchange passes a query and its reply.
func exchange(now clock.Time, vm, upstream *Ledger) (reports int) {
	q := vm.Query(now)
	r := upstream.Reply(now, q)
	vm.Accept(now, r)
	return len(q.Reports) + len(r.Reports)
}

// Guards against VMs that still send such requests on three seconds after others saw the crashes, in a fleet of 300 VMs in
// domains that follow each other, and against messages that go on when nothing changes.
func TestSpread(t *testing.T) {
	const interval = 300 * clock.Millisecond // of the queries
	root := newLedger(1)
	leads, vms := []*Ledger{}, []*Ledger{}
	upstream := map[*Ledger]*Ledger{}
	for i := range 5 {
		lead := newLedger(uint64(10 + i))
		leads, upstream[lead] = append(leads, lead), root
		for j := range 59 {
			vm := newLedger(uint64(1000 + 100*i + j))
			vms, upstream[vm] = append(vms, vm), lead
		}
	}
	for i, e := range threeCrashes("d")[:3] {
		vms[100*i].apply(e)
	}
	vms[7].apply(start(1900, "a", "b"))
	now := clock.Time(1900)
	round := func() (reports int) {
		now = now.Add(interval)
		for _, l := range slices.Concat(leads, vms) { // the order in which news take longest
			reports += exchange(now, l, upstream[l])
		}
		return reports
	}
	for now < 1900+3000 {
		round()
	}
	for i, l := range slices.Concat(vms, leads, []*Ledger{root}) {
		assert.Check(t, l.refused(now, "w", "d"), "VM %d sends the part on", i)
		assert.Check(t, !l.refused(now, "w", "a", "b"), "VM %d refuses a sound part", i)
	}
	assert.Equal(t, round(), 0)

	started := newLedger(7777)
	exchange(now, started, leads[0])
	assert.Check(t, started.refused(now, "w", "d"), "a VM that starts is not told")
	upstream[leads[0]], root = nil, newLedger(2) // the root starts again
	exchange(now, leads[1], root)
	exchange(now, leads[1], root)
	assert.Check(t, root.refused(now, "w", "d"), "an upstream that starts is not told")
}

// Guards against a domain that is cut off and learns nothing, and against two halves that disagree after the cut.
func TestCutDomain(t *testing.T) {
	root, lead, vm := newLedger(1), newLedger(2), newLedger(3)
	for _, e := range threeCrashes("d") {
		vm.apply(e)
	}
	exchange(2000, vm, lead)
	assert.Check(t, lead.refused(2000, "w", "d"))
	assert.Check(t, !root.refused(2000, "w", "d"))
	exchange(9000, lead, root)
	assert.Check(t, root.refused(9000, "w", "d"))
	root.apply(start(9500, "d"))
	exchange(9600, lead, root)
	exchange(9700, vm, lead)
	assert.Check(t, !vm.refused(9700, "w", "d"))
}

// Guards against ledgers that differ after messages were lost, delayed or exchanged in another order, or that keep sending.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "vms")
		var all []*Ledger
		for i := range n {
			all = append(all, newLedger(uint64(i+1)))
		}
		now := clock.Time(1000)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(1, 400).Draw(t, "pause")))
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			parts := []string{fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "part")), fmt.Sprint("q", rapid.IntRange(0, 2).Draw(t, "second"))}
			long := append(numbered("f", named), parts...) // the drawn parts are in the tail
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				all[i].apply(crash(now, step, "w", uint64(step), parts...))
			case 2:
				all[i].apply(start(now, parts...))
			case 3:
				all[i].refused(now, "w", parts...)
			case 4:
				all[i].crashUnder(now, step, uint64(step), long...)
			case 5:
				all[i].startUnder(now, long...)
			case 6:
				if i > 0 {
					q := all[i].Query(now)
					r := all[i/2].Reply(now, q)
					if rapid.Bool().Draw(t, "lost") {
						continue
					}
					all[i].Accept(now, r)
				}
			}
		}
		total := 0
		for range 2*n + 4 {
			total = 0
			for i := 1; i < n; i++ {
				total += exchange(now, all[i], all[i/2])
			}
		}
		assert.Equal(t, total, 0)
		for _, l := range all[1:] {
			assert.DeepEqual(t, state(l), state(all[0]))
		}
	})
}

// state returns what two ledgers with the same records agree on.
func state(l *Ledger) map[string]string {
	out := make(map[string]string)
	for _, r := range l.records {
		out[fmt.Sprint(r.Server, r.Prompt)] = fmt.Sprint(r.Parts, r.cleared, r.at, r.Rest)
	}
	return out
}

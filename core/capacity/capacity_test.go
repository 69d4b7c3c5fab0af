package capacity

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// feed gives a learner n answers of each of four servers; the server s0 takes slow times as long.
func feed(l *Learner, n int, slow clock.Span, born int64) clock.Time {
	now := clock.Time(1000)
	for range n {
		for i := range 4 {
			took := 100 * clock.Millisecond
			if i == 0 {
				took *= slow
			}
			id := fmt.Sprint("s", i)
			l.End(now, id, l.Start(now, Request{Server: Server{id, born}, Class: "c", Size: 10, InFlight: 1, Slots: 8}), took, false)
		}
		now = now.Add(10)
	}
	return now
}

func evidence(l *Learner, now clock.Time) map[string]Evidence {
	out := make(map[string]Evidence)
	for _, id := range l.Servers(now) {
		out[id] = l.Report(now, id)
	}
	return out
}

// Guards against estimates from little, missing or senseless evidence, and against estimates beyond their bounds.
func TestBounds(t *testing.T) {
	var l Learner
	now := feed(&l, 40, 1000, 1)
	all := evidence(&l, now)
	e := Estimates(all)
	assert.Check(t, e["s0"].Speed >= minSpeed && e["s0"].Speed < 0.5, "%+v", e)
	for _, c := range []struct {
		name string
		v    Evidence
	}{
		{"no evidence", Evidence{}},
		{"little evidence", Evidence{Counts: [sums]int{3 * unit, 0, 0, 3 * unit}, Logs: [sums]int{400, 0, 0, 400}}},
		{"a negative number", Evidence{Counts: [sums]int{-900, 0, 0, 900}}},
		{"sums that no answers have", Evidence{Counts: [sums]int{900, 0, 0, 900}, Logs: [sums]int{1 << 40, 0, 0, -1 << 62}}},
		{"too many answers", Evidence{Counts: [sums]int{1 << 60, 0, 0, 1 << 60}}},
	} {
		all["s1"] = c.v
		assert.Equal(t, Estimates(all)["s1"].Factor(), 1.0, c.name)
	}
	assert.Equal(t, len(Estimates(nil)), 0)
	assert.Equal(t, len(Estimates(map[string]Evidence{"s0": all["s0"]})), 0, "a server alone has no peers")
	for _, took := range []clock.Span{-5, 0, maxTime + 1} {
		var l Learner
		feed(&l, 10, 1, 1)
		before := l.Report(2000, "s0")
		l.End(2000, "s0", l.Start(2000, Request{Server: Server{"s0", 1}, Class: "c", Size: 10}), took, false)
		assert.Equal(t, l.Report(2000, "s0"), before, "a time of %d ms", took)
	}
}

// Guards against evidence of an earlier incarnation that counts for a later one, and against sums that drift when reports are replaced.
func TestIncarnations(t *testing.T) {
	var l Learner
	now := feed(&l, 40, 5, 1)
	old := l.Report(now, "s0")
	k := l.Start(now, Request{Server: Server{"s0", 1}, Class: "c"})
	l.Start(now, Request{Server: Server{"s0", 2}, Class: "c"})
	l.End(now, "s0", k, 100, false)
	assert.Check(t, l.Report(now, "s0").Empty(), "the new incarnation inherits evidence")
	assert.Equal(t, l.Start(now, Request{Server: Server{"s0", 1}}), Token(0))
	next := Evidence{Born: 2, Counts: [sums]int{100, 0, 0, 100}}
	assert.Equal(t, old.Plus(next), next)
	assert.Equal(t, next.Plus(old), next)
	assert.Equal(t, next.Minus(old), next)
	assert.Equal(t, next.Plus(Evidence{}), next)
	assert.Check(t, next.Minus(next).Plus(old).Empty(), "reports of the earlier incarnation come back while none of the later one is there")
	assert.Equal(t, old.Plus(old).Minus(old), old)
}

// Guards against state that grows with the number of classes or servers.
func TestStateIsBounded(t *testing.T) {
	var l Learner
	for i := range 3 * maxClasses {
		now := clock.Time(i * 10)
		id := fmt.Sprint("s", i)
		l.End(now, id, l.Start(now, Request{Server: Server{id, 1}, Class: id}), 10, false)
	}
	assert.Check(t, len(l.usual) <= maxClasses)
	l.Servers(clock.Time(clock.Hour))
	assert.Equal(t, len(l.servers), 0)
}

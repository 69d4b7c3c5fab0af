package limit

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
)

func newTable(id uint64) *Table {
	t := &Table{}
	t.Init(id)
	return t
}

// Guards against a limit that is missed, forgotten, or ended by an answer that is older than it.
func TestRecord(t *testing.T) {
	s := Server{Service: "s", ID: "a", Born: 1}
	named := func(rate float64) Notice { return Notice{Kind: Named, Rate: rate} }
	type answer struct {
		sent, at clock.Time
		Notice
	}
	tests := []struct {
		name    string
		answers []answer
		now     clock.Time
		want    string
	}{
		{"named", []answer{{1, 2, named(1.5)}}, 10, "1.5 true"},
		{"zero is a limit", []answer{{1, 2, named(0)}}, 10, "0 true"},
		{"changed", []answer{{1, 2, named(1.5)}, {3, 4, named(3)}}, 10, "3 true"},
		{"ended", []answer{{1, 2, named(1.5)}, {3, 4, Notice{Kind: None}}}, 10, "0 false"},
		{"a late answer to an older request does not end it", []answer{{1, 5, named(1.5)}, {4, 9, Notice{Kind: None}}}, 10, "1.5 true"},
		{"an answer that says nothing changes nothing", []answer{{1, 2, named(1.5)}, {3, 4, Notice{}}}, 10, "1.5 true"},
		{"named again", []answer{{1, 2, named(1.5)}, {3, 4, Notice{Kind: None}}, {5, 6, named(2)}}, 10, "2 true"},
		{"ended by its server's leave", []answer{{1, 2, named(1.5)}, {3, 4, Notice{Kind: Leaving}}}, 10, "0 false"},
		{"an answer after the leave changes nothing", []answer{{1, 2, Notice{Kind: Leaving}}, {3, 4, named(1.5)}, {5, 6, Notice{Kind: None}}}, 10, "0 false"},
		{"in force while nothing is heard", []answer{{1, 2, named(1.5)}}, clock.Time(5 * clock.Minute), "1.5 true"},
		{"dropped when its server is gone", []answer{{1, 2, named(1.5)}}, clock.Time(limitTTL + 3), "0 false"},
	}
	for _, tt := range tests {
		l := newTable(1)
		for _, a := range tt.answers {
			l.Record(a.at, a.sent, s, a.Notice)
		}
		l.Limits(tt.now)
		rate, ok := l.Get(s)
		assert.Equal(t, fmt.Sprint(rate, ok), tt.want, tt.name)
		_, ok = l.Get(Server{Service: "s", ID: "a", Born: 2})
		assert.Check(t, !ok, "%s: a new incarnation has the limit of the earlier one", tt.name)
	}
}

// Guards against a limit that all VMs drop because one of them had a late answer from before the server named it.
func TestLateAnswerEndsNoLimitOfOthers(t *testing.T) {
	s := Server{Service: "s", ID: "a", Born: 1}
	parent, child := newTable(1), newTable(2)
	parent.Record(10, 9, s, Notice{Kind: Named, Rate: 3})
	child.Accept(10, parent.Reply(10, child.Query(10)))
	// The server ends its limit, answers the child, and names a limit again to the parent. The child's answer is the last to arrive.
	parent.Record(30, 29, s, Notice{Kind: Named, Rate: 2})
	child.Record(60, 20, s, Notice{Kind: None})
	for now := clock.Time(70); now < 75; now++ {
		child.Accept(now, parent.Reply(now, child.Query(now)))
	}
	for i, table := range []*Table{parent, child} {
		rate, ok := table.Get(s)
		assert.Check(t, ok && rate == 2, "table %d: %v %v", i, rate, ok)
	}
}

// Guards against a server that leaves and gets requests again: by a later answer, by what other VMs say, or from VMs that were not told,
// and against one that started again and is taken for the one that left.
func TestLeaving(t *testing.T) {
	s, again := Server{Service: "s", ID: "a", Born: 1}, Server{Service: "s", ID: "a", Born: 2}
	var told []Server
	parent, child := newTable(1), newTable(2)
	parent.OnLeaving = func(s Server) { told = append(told, s) }
	exchange := func(now clock.Time) { child.Accept(now, parent.Reply(now, child.Query(now))) }
	child.Record(10, 9, s, Notice{Kind: Leaving})
	parent.Record(20, 19, s, Notice{Kind: Named, Rate: 3})
	exchange(30)
	child.Record(40, 39, s, Notice{Kind: None})
	exchange(50)
	exchange(60)
	for i, table := range []*Table{parent, child} {
		_, limited := table.Get(s)
		assert.Check(t, table.Leaving(s) && !limited && !table.Leaving(again), "table %d", i)
	}
	assert.DeepEqual(t, told, []Server{s})
	assert.Equal(t, len(child.Query(70).Reports)+len(parent.Reply(70, child.Query(70)).Reports), 0)
	parent.Limits(clock.Time(leavingTTL))
	assert.Check(t, parent.Leaving(s))
	parent.Limits(clock.Time(leavingTTL + 60))
	assert.Check(t, !parent.Leaving(s), "the table grows for ever")
}

// Guards against rates that would divide by zero or never end.
func TestValid(t *testing.T) {
	for rate, want := range map[float64]bool{0: true, 1.5: true, -1: false, math.Inf(1): false, math.NaN(): false} {
		assert.Equal(t, Valid(rate), want, "%v", rate)
	}
}

// Guards against VMs that disagree about a limit after messages were lost, or that keep telling each other what they know.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "vms")
		var all []*Table
		for i := range n {
			all = append(all, newTable(uint64(i+1)))
		}
		exchange := func(now clock.Time, i int, lost bool) int {
			q := all[i].Query(now)
			r := all[i/2].Reply(now, q)
			if !lost {
				all[i].Accept(now, r)
			}
			return len(q.Reports) + len(r.Reports)
		}
		now := clock.Time(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(1, 400).Draw(t, "pause")))
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			s := Server{Service: "s", ID: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))}
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				all[i].Record(now, now-1, s, Notice{Kind: Named, Rate: float64(rapid.IntRange(0, 3).Draw(t, "rate"))})
			case 1:
				all[i].Record(now, now-1, s, Notice{Kind: None})
			case 2:
				if i > 0 {
					exchange(now, i, rapid.Bool().Draw(t, "lost"))
				}
			}
		}
		sent := 0
		for range 2*n + 4 {
			sent = 0
			for i := 1; i < n; i++ {
				sent += exchange(now, i, false)
			}
		}
		assert.Equal(t, sent, 0)
		for _, l := range all[1:] {
			assert.DeepEqual(t, l.Limits(now), all[0].Limits(now))
		}
	})
}

// Guards against a table that grows with what a faulty peer sends.
func TestMergeIsBounded(t *testing.T) {
	l := newTable(1)
	var m Message
	m.Ledger = 9
	for i := range maxRecords + 100 {
		m.Reports = append(m.Reports, Report{Of: Server{ID: fmt.Sprint(i)}, Kind: Named, Rate: 1})
	}
	m.Reports[0].Rate, m.Reports[1].Age, m.Reports[2].Kind = math.NaN(), -1, 77
	l.Accept(5, m)
	l.Accept(6, m)
	assert.Check(t, len(l.records) <= maxRecords)
	for s, r := range l.records {
		assert.Check(t, Valid(r.Rate) && r.Kind == Named, "%v %+v", s, r)
	}
	for i := range maxRecords + 100 {
		l.Record(clock.Time(10+i), clock.Time(9+i), Server{ID: "a", Born: int64(i)}, Notice{Kind: Leaving})
	}
	assert.Check(t, len(l.records) <= maxRecords)
	assert.Check(t, l.Leaving(Server{ID: "a", Born: maxRecords + 99}))
}

package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// event is a crash of a server, or the start of an answer if server is "".
type event struct {
	at        clock.Time
	server    string
	workspace string
	prompt    uint64
	parts     []string
}

func crash(at clock.Time, server int, workspace string, prompt uint64, parts ...string) event {
	return event{at, fmt.Sprint("s", server), workspace, prompt, parts}
}

func start(at clock.Time, parts ...string) event { return event{at: at, parts: parts} }

func newLedger(id uint64, events ...event) *Ledger {
	l := &Ledger{}
	l.Init(id)
	for _, e := range events {
		l.apply(e)
	}
	return l
}

func (l *Ledger) apply(e event) {
	if e.server == "" {
		l.RecordStart(e.at, "s", Content{Parts: e.parts})
		return
	}
	l.RecordCrash(e.at, Crash{Service: "s", Server: e.server, Workspace: e.workspace, Prompt: e.prompt, Parts: e.parts})
}

// refused reports whether a request with a new prompt is refused.
func (l *Ledger) refused(now clock.Time, workspace string, parts ...string) bool {
	r, _ := l.Check(now, Request{Service: "s", Workspace: workspace, Prompt: 999, Content: Content{Parts: parts}})
	return r != nil
}

// threeCrashes are the fewest crashes that suffice for a quarantine of a part.
func threeCrashes(part string) []event {
	return []event{
		crash(1000, 1, "w", 1, "a", part), crash(1400, 2, "w", 2, "a", part), crash(1800, 3, "w", 3, "a", part), start(1900, "a", "b"),
	}
}

// Guards against a quarantine of what the crashes do not have in common, and against crashes that are no evidence.
func TestRules(t *testing.T) {
	sameMoment := func(n int) (out []event) {
		for i := range n {
			out = append(out, crash(1000+clock.Time(i), i, "w", uint64(i), "a", "b"))
		}
		return out
	}
	for _, c := range []struct {
		name      string
		events    []event
		workspace string
		parts     []string
		want      bool
	}{
		{"the part that the crashes share", threeCrashes("d"), "w", []string{"a", "d"}, true},
		{"the part at another position", threeCrashes("d"), "w", []string{"d", "x", "a"}, true},
		{"a part that sound requests share", threeCrashes("d"), "w", []string{"a", "b"}, false},
		{"crashes that are minutes apart", []event{
			crash(1000, 1, "w", 1, "d"), crash(150_000, 2, "w", 2, "d"), crash(300_000, 3, "w", 3, "d"),
		}, "w", []string{"d"}, true},
		{"two servers", threeCrashes("d")[:2], "w", []string{"a", "d"}, false},
		{"many servers at one moment", sameMoment(40), "w", []string{"a", "b"}, false},
		{"one prompt at many servers", []event{
			crash(1000, 1, "w", 1, "d"), crash(2000, 2, "w", 1, "d"), crash(3000, 3, "w", 1, "d"), crash(4000, 4, "w", 1, "d"),
		}, "w", []string{"d"}, false},
		{"one server, reported for several requests", []event{
			crash(1000, 1, "w", 1, "d"), crash(1400, 1, "w", 2, "d"), crash(1800, 1, "w", 3, "d"),
		}, "w", []string{"d"}, false},
		{"a part with which an answer was started between the crashes", append(
			threeCrashes("d")[:2], start(1500, "a", "d"), crash(1800, 3, "w", 3, "a", "d")), "w", []string{"a", "d"}, false},
		{"a part with which an answer was started before a crash was noticed", []event{
			start(2000, "d"), crash(1000, 1, "w", 1, "d"), crash(1400, 2, "w", 2, "d"), crash(1800, 3, "w", 3, "d"),
		}, "w", []string{"d"}, false},
		{"a part with which an answer was started before the crashes", append([]event{start(900, "d")}, threeCrashes("d")...),
			"w", []string{"a", "d"}, true},
		{"parts that were only seen together, both", threeCrashes("d")[:3], "w", []string{"a", "d"}, true},
		{"parts that were only seen together, one of them", threeCrashes("d")[:3], "w", []string{"a", "b"}, false},
		{"different parts", []event{
			crash(1000, 1, "w", 1, "d"), crash(1400, 2, "w", 2, "e"), crash(1800, 3, "w", 3, "f"),
		}, "w", []string{"d"}, false},
		{"two parts at once, the first", append(threeCrashes("d"),
			crash(2000, 4, "w", 4, "e"), crash(2400, 5, "w", 5, "e"), crash(2800, 6, "w", 6, "e")), "w", []string{"d"}, true},
		{"two parts at once, the second", append(threeCrashes("d"),
			crash(2000, 4, "w", 4, "e"), crash(2400, 5, "w", 5, "e"), crash(2800, 6, "w", 6, "e")), "w", []string{"e"}, true},
		{"the crashes of one workspace, another workspace", threeCrashes("d"), "other", []string{"a", "d"}, false},
		{"the crashes of one workspace, another one had a request with the part there", append(threeCrashes("d"),
			crash(1900, 3, "other", 4, "d")), "other", []string{"a", "d"}, false},
		{"the crashes of two workspaces, a third one", append(threeCrashes("d"), crash(2200, 4, "v", 4, "d")), "other", []string{"d"}, true},
		{"a request that waited at the servers that ended", append(threeCrashes("d"),
			crash(1000, 1, "v", 11, "q"), crash(1400, 2, "v", 12, "q"), crash(1800, 3, "v", 13, "q"), crash(2200, 4, "w", 4, "d")),
			"v", []string{"q"}, false},
		{"another service", threeCrashes("d"), "w", []string{"a"}, false},
	} {
		l := newLedger(1, c.events...)
		now := max(5000, c.events[len(c.events)-1].at+1)
		assert.Equal(t, l.refused(now, c.workspace, c.parts...), c.want, c.name)
	}
	l := newLedger(1, threeCrashes("d")...)
	r, _ := l.Check(5000, Request{Service: "t", Workspace: "w", Content: Content{Parts: []string{"a", "d"}}})
	assert.Assert(t, r == nil, "another service")
}

// Guards against a quarantine that outlasts its cause, and against one that ends while requests with the part still come.
func TestQuarantineEnds(t *testing.T) {
	last := clock.Time(1800)
	for _, c := range []struct {
		name   string
		asked  []clock.Span // after the last crash, with the part
		starts []clock.Span
		at     clock.Span
		want   bool
	}{
		{"no requests", nil, nil, quietTime - 2*clock.Second, true},
		{"no requests for the quiet time", nil, nil, quietTime + 1, false},
		{"requests still come", []clock.Span{40 * clock.Second, 80 * clock.Second}, nil, 130 * clock.Second, true},
		{"requests came, then none for the quiet time", []clock.Span{40 * clock.Second}, nil, 101 * clock.Second, false},
		{"an answer was started", nil, []clock.Span{clock.Second}, 2 * clock.Second, false},
	} {
		l := newLedger(1, threeCrashes("d")...)
		for _, s := range c.asked {
			assert.Assert(t, l.refused(last.Add(s), "w", "a", "d"), c.name)
		}
		for _, s := range c.starts {
			l.RecordStart(last.Add(s), "s", Content{Parts: []string{"d"}})
		}
		assert.Equal(t, l.refused(last.Add(c.at), "w", "a", "d"), c.want, c.name)
	}
	l := newLedger(1, threeCrashes("d")...)
	l.apply(crash(last.Add(2*clock.Minute), 4, "w", 4, "d"))
	assert.Assert(t, l.refused(last.Add(2*clock.Minute+1), "w", "a", "d"), "one more crash after the quiet time")
	l = newLedger(1, threeCrashes("d")...)
	for s := clock.Span(0); s < maxAge-clock.Second; s += 30 * clock.Second {
		assert.Assert(t, l.refused(last.Add(s), "w", "a", "d"))
	}
	assert.Assert(t, !l.refused(last.Add(maxAge+clock.Second), "w", "a", "d"))
}

// Guards against a prompt that ended a server and is sent on as if nothing were known, and against a sound request that is
// refused because its server ended for another reason.
func TestRepeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []event
		after  clock.Span
		want   bool
	}{
		{"at once", []event{crash(1000, 1, "w", 7, "a", "d")}, 100, true},
		{"after the delay", []event{crash(1000, 1, "w", 7, "a", "d")}, repeatDelay + 1, false},
		{"after the delay, two servers", []event{crash(500, 1, "w", 7, "a", "d"), crash(1000, 2, "w", 7, "a", "d")}, repeatDelay + 1, true},
		{"all parts were started before", []event{start(900, "a"), start(950, "d"), crash(1000, 1, "w", 7, "a", "d")}, 100, false},
		{"all parts were started before, another crash has one", []event{
			start(900, "a", "d"), crash(950, 2, "w", 8, "d"), crash(1000, 1, "w", 7, "a", "d"),
		}, 100, true},
		{"all parts were started since", []event{crash(1000, 1, "w", 7, "a", "d"), start(1050, "a", "d")}, 100, false},
		{"another prompt", []event{crash(1000, 1, "w", 8, "a", "d")}, 100, false},
	} {
		l := newLedger(1, c.events...)
		r, _ := l.Check(clock.Time(1000).Add(c.after), Request{Service: "s", Workspace: "w", Prompt: 7, Content: Content{Parts: []string{"a", "d"}}})
		assert.Equal(t, r != nil, c.want, c.name)
		assert.Check(t, r == nil || r.Repeat && r.Retry > 0, c.name)
	}
}

// Guards against memory and messages that grow with the number of crashes, of parts, or with what another VM sends.
func TestBounds(t *testing.T) {
	l := newLedger(1)
	many := make([]string, 100)
	for i := range many {
		many[i] = fmt.Sprint("p", i)
	}
	for i := range 3 * maxRecords {
		l.apply(crash(clock.Time(1000+i), i, "w", uint64(i), many...))
		l.apply(start(clock.Time(1000+i), many...))
	}
	assert.Equal(t, len(l.records), maxRecords)
	assert.Equal(t, len(l.Query(5000).Reports), maxRecords)
	for i := range 3 * maxStarted {
		l.apply(start(clock.Time(5000), fmt.Sprint("q", i)))
	}
	assert.Assert(t, len(l.started.at) <= maxStarted)

	var m Message
	m.Ledger = 2
	for i := range 3 * maxRecords {
		m.Reports = append(m.Reports, Report{Crash: Crash{Service: "s", Server: fmt.Sprint("x", i), Parts: many}})
		m.Reports = append(m.Reports, Report{Crash: Crash{Service: "s", Server: fmt.Sprint("y", i)}, Age: -1})
	}
	other := newLedger(1)
	other.Reply(5000, m)
	assert.Equal(t, len(other.records), 0)
}

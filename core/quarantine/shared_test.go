package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// waiting returns the crashes of sound requests that waited at a server as it ended.
func waiting(at clock.Time, server int, requests int, parts ...string) (out []event) {
	for i := range requests {
		out = append(out, crash(at, server, "w", uint64(100*server+i), parts...))
	}
	return out
}

// join returns the events of all groups.
func join(groups ...[]event) (out []event) {
	for _, g := range groups {
		out = append(out, g...)
	}
	return out
}

// Guards against sound requests that are refused because they waited at the servers that a deadly part ended, and share their first part
// with it. No answer can clear that part while requests with it are refused.
func TestSharedPartOfWaitingRequestsIsNotBlamed(t *testing.T) {
	// "a" is the part that all prompts share, "s" one of sound requests, "x" the deadly one: sorted by name it is the last.
	served := []event{start(100, "a", "s"), start(900, "a", "s")}
	three := join(
		waiting(1000, 1, 2, "a", "s"), []event{crash(1000, 1, "w", 1, "a", "x")},
		waiting(1400, 2, 2, "a", "s"), []event{crash(1400, 2, "w", 2, "a", "x")},
		waiting(1800, 3, 2, "a", "s"), []event{crash(1800, 3, "w", 3, "a", "x")},
	)
	for _, c := range []struct {
		name   string
		events []event
	}{
		{"the sound parts were answered before", join(served, three)},
		{"nothing is known of the time before", three},
		{"another server ended for another reason", join(served, waiting(950, 4, 2, "a", "s"), three)},
		{"answered a minute before", join([]event{start(1000-60_000, "a", "s")}, waiting(950, 4, 2, "a", "s"), three)},
		{"the first part alone was answered before", join([]event{start(900, "a")}, three)},
	} {
		l := newLedger(1, c.events...)
		assert.Check(t, !l.refused(5000, "w", "a", "s"), "%s: the sound parts are refused", c.name)
		assert.Check(t, !l.refused(5000, "w", "a", "z"), "%s: the first part is refused", c.name)
		assert.Check(t, l.refused(5000, "w", "a", "x"), "%s: the deadly part is sent on", c.name)
	}
}

// Guards against a deadly part that is sent on because answers with it were started before it became deadly, and against one that hides
// behind a part that was never answered.
func TestPartsAnsweredBeforeCanBeBlamed(t *testing.T) {
	l := newLedger(1, join([]event{start(900, "a", "d")}, []event{
		crash(1000, 1, "w", 1, "a", "d"), crash(1400, 2, "w", 2, "a", "d"), crash(1800, 3, "w", 3, "a", "d"), start(1900, "a"),
	})...)
	assert.Check(t, l.refused(5000, "w", "a", "d"))
	assert.Check(t, !l.refused(5000, "w", "a", "b"))

	l = newLedger(1, start(900, "a", "d"))
	for i := range 3 {
		l.apply(crash(clock.Time(1000+400*i), i, "w", uint64(i), "d", "new"))
	}
	for i := range 3 {
		l.apply(crash(clock.Time(3000+400*i), 10+i, "w", uint64(10+i), "d"))
	}
	assert.Check(t, l.refused(5000, "w", "d"), "servers ended under it and not under the other part")
}

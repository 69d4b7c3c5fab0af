package quarantine

import (
	"cmp"
	"slices"

	"shallotrun/core/clock"
)

// A rule can be wrong: servers that end one after the other for a reason of their own look like servers that a part of the prompts
// ends, and no answer can clear a part with which no request is sent. A few requests are therefore sent all the same, as trials. If the
// answer to one is started, its parts are cleared and the rule ends. If the server ends under it, the crash counts as one of a trial, and
// after maxTrials of them the rule stands without further trials.
const (
	// trialDelay is the time from the last crash to the first trials of a rule whose parts were answered before the crashes. Some of the
	// servers are back by then.
	trialDelay = 2 * clock.Second
	// newPartDelay is the same for a rule whose parts were never answered: it is most likely right.
	newPartDelay = clock.Minute
	// maxTrials is the number of servers that may end under trials of a rule.
	maxTrials = 2
	// maxTrialTurns is the number of turns, each twice as long as the one before. In the first, trialVMs of the VMs that saw crashes may
	// send one request each, in each further one four times as many, and from openTurn on all VMs: a turn that goes by without a crash
	// shows that the VMs whose turn it was have few such requests.
	maxTrialTurns = 8
	trialVMs      = 2
	openTurn      = 3
)

// mayTry reports whether a request that a rule refuses is sent as a trial, and if so records the turn of this VM as used.
func (l *Ledger) mayTry(now clock.Time, rule Rule, q Request) bool {
	if !q.MayTry || rule.trials() >= maxTrials || slices.ContainsFunc(l.records, func(r *record) bool { return r.repeatedBy(q) }) {
		return false
	}
	start, ok := rule.turn(now)
	key := rule.ID()
	if !ok || l.tried[key] >= start {
		return false
	}
	if l.tried == nil || len(l.tried) >= maxRecords {
		l.tried = make(map[string]clock.Time)
	}
	l.tried[key] = now
	return true
}

// trials returns the number of servers that ended under trials.
func (r *Rule) trials() int {
	trials := slices.DeleteFunc(slices.Clone(r.crashes), func(c *record) bool { return !c.Trial })
	return len(distinct(trials, func(c *record) string { return c.Server }))
}

// turn returns the start of the present turn, and whether this VM has it: one of the first crashes, in an order that is the same on all VMs
// that know them, is one that it saw. A VM that is gone or has no such request delays the trial until the next turn.
func (r *Rule) turn(now clock.Time) (start clock.Time, own bool) {
	crashes := slices.Clone(r.crashes)
	slices.SortFunc(crashes, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.Prompt, b.Prompt), cmp.Compare(a.Server, b.Server))
	})
	last := slices.MaxFunc(crashes, func(a, b *record) int { return cmp.Compare(a.at, b.at) }).at
	length := newPartDelay
	if r.answered {
		length = trialDelay
	}
	start = last.Add(length)
	for n := range maxTrialTurns {
		if now < start {
			return 0, false
		}
		if length *= 2; now < start.Add(length) {
			chosen := crashes[:min(trialVMs<<(2*n), len(crashes))]
			return start, n >= openTurn || slices.ContainsFunc(chosen, func(c *record) bool { return c.own })
		}
		start = start.Add(length)
	}
	return 0, false
}

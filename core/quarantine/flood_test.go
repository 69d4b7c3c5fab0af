package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

const (
	floodVMs     = 90
	floodServers = 40
	floodSeeds   = 2
	floodPerTick = 20 // sound requests in trialTick
	floodParts   = 115
)

// floodParts are the shared parts of the prompt of a sound request, one of many that share the first one.
func (f *trialFleet) floodParts() []string {
	return []string{"first", fmt.Sprint("sound-", f.rnd.IntN(floodParts))}
}

// runFlood lets a fleet serve many requests, of which some are deadly from 5 s on. All prompts begin with the parts in before. At the times in power a fifth of the servers ends at once.
func runFlood(seed uint64, before []string, end clock.Time, power ...clock.Time) *trialFleet {
	f := newTrialFleet(seed, floodVMs)
	f.backAt, f.born = make([]clock.Time, floodServers), make([]int, floodServers)
	for now := clock.Time(0); now < end; now = now.Add(trialTick) {
		for range floodPerTick {
			f.sendParts(now, false, slices.Concat(before, f.floodParts()))
		}
		if now >= 5000 && int64(now)%200 == 0 {
			f.sendParts(now, true, slices.Concat(before, []string{"first", "deadly"}))
		}
		for _, at := range power {
			if now != at {
				continue
			}
			for server := range floodServers / 5 {
				f.end(now, server)
			}
		}
		f.step(now)
	}
	return f
}

// Guards against a deadly part that is sent on because the ends of servers at which many sound requests wait displace the crashes that
// accuse it, and against sound requests that are refused.
func TestDeadlyPartAmongManyWaitingRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int // parts
		power  []clock.Time
	}{
		{"the deadly part alone", 0, nil},
		{"many servers end as it begins", 0, []clock.Time{5000}},
		{"many servers end while it is refused", 0, []clock.Time{10_000, 14_000, 18_000}},
		{"behind many parts", 60, nil},
		{"behind many parts, many servers end as it begins", 60, []clock.Time{5000}},
		{"behind many parts, many servers end while it is refused", 60, []clock.Time{10_000, 14_000, 18_000}},
	} {
		for seed := range uint64(floodSeeds) {
			f := runFlood(seed, numbered("before", c.before), 25_000, c.power...)
			assert.Assert(t, len(f.crashes) >= 3, c.name)
			fifth := f.crashes[min(len(f.crashes), 5)-1]
			late := countFrom(f.deadlySent, fifth.Add(3000))
			assert.Check(t, late <= 3, "%s, seed %d: %d deadly requests late, %d servers ended under them", c.name, seed, late, len(f.crashes))
			refused, started := countFrom(f.refused, fifth.Add(6000)), countFrom(f.started, fifth.Add(6000))
			assert.Check(t, refused <= started/10, "%s, seed %d: %d sound requests were refused, %d answered", c.name, seed, refused, started)
		}
	}
}

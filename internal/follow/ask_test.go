package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/internal/feed"
)

// Guards against VMs that miss changes because the store turns away all VMs of their failure domain that others follow, although it would
// answer the rest; and against a domain whose VMs all call the store then.
func TestStoreTurnsAwayAllCandidates(t *testing.T) {
	t.Parallel()
	turnAwayCandidates(t, 0)
}

// Guards against the same if the store turns away half of the other VMs too, so that some are asked in vain to read it.
func TestStoreTurnsAwayCandidatesAndHalfOfTheOthers(t *testing.T) {
	t.Parallel()
	turnAwayCandidates(t, 4)
}

// turnAwayCandidates makes the store turn away the candidates and more other VMs.
func turnAwayCandidates(t *testing.T, more int) {
	const vms = 12
	s := newStore()
	var names []string
	for n := range vms {
		names = append(names, fmt.Sprint("vm", n))
	}
	all := fleet(t, s, names...)
	waitFor(t, "one VM reads the store", func() bool { return storeReader(all) != nil })
	candidates := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.members)
	}
	waitFor(t, "candidates are chosen", func() bool { return candidates() >= candidatesPerDomain })
	waitFor(t, "all know the candidates", func() bool {
		for _, m := range all {
			if len(m.feed.Members()) != candidates() {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second) // watches in progress end
	var others []*vm
	for _, m := range all {
		candidate := m.follower.isCandidate() || m.following() == ""
		if !candidate {
			others = append(others, m)
		}
		m.view.setDisconnected(candidate || len(others) <= more)
	}
	assert.Assert(t, len(others) >= vms/2, "%d VMs are no candidates", len(others))
	const length = 9 * time.Second
	begun := time.Now()
	for version := uint64(2); time.Since(begun) < length; version++ {
		changed := time.Now()
		s.configure(version)
		s.put(backend.Server{ID: "x", Service: "s", Leaving: version%2 == 0})
		for _, m := range all {
			for m.feed.Config.Table().Config.Version != version || len(m.feed.Servers(m.follower.Clock.Now(), "s")) != int(version%2) {
				assert.Assert(t, time.Since(changed) < applyBound, "%s does not have version %d after %v", m.name, version, applyBound)
				time.Sleep(5 * time.Millisecond)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	calls := 0
	for _, m := range others {
		calls += m.view.callCount()
	}
	t.Logf("%d calls by %d VMs in %v", calls, len(others), time.Since(begun))
	// One VM that reads the store makes about four calls a second; another one may take its place.
	assert.Check(t, float64(calls) < 12*time.Since(begun).Seconds(), "%d calls in %v", calls, time.Since(begun))
}

// Guards against several VMs that are asked to read the store at the same time, VMs that are never asked, and a VM that is replaced although
// it gets answers.
func TestOneVMIsAskedAtATime(t *testing.T) {
	names := []string{"a", "b", "c", "e"}
	for _, c := range []struct {
		name    string
		answers string // VM that gets answers of the store, "" for none
	}{
		{"no VM gets answers", ""},
		{"the first one does", "a"},
		{"the last one does", "e"},
	} {
		var a asking
		asked := make(map[string]int)
		until := make(map[string]clock.Time) // by VM: until when it reads the store
		for now := clock.Time(1000); now < 61_000; now += 75 {
			m := feed.Member{Name: names[int(now/75)%len(names)]}
			answer := clock.Span(0)
			if now < until[m.Name] && m.Name == c.answers {
				answer = 200
			}
			if a.ask(now, m, answer, true) {
				asked[m.Name]++
				until[m.Name] = now.Add(askSpan)
			}
			reading := 0
			for _, u := range until {
				if now < u-clock.Time(askSpan-pollInterval) { // asked within the last poll
					reading++
				}
			}
			assert.Check(t, reading <= 2, "%s: %d VMs were asked within a poll", c.name, reading)
		}
		for _, n := range names {
			assert.Check(t, c.answers != "" || asked[n] > 0, "%s: %s was never asked", c.name, n)
		}
		if c.answers != "" {
			assert.Check(t, asked[c.answers] > 150, "%s: it was asked %d times in 200 polls", c.name, asked[c.answers])
		}
		assert.Check(t, !a.ask(61_000, feed.Member{Name: "a"}, 0, false), "%s: asked although the store answers", c.name)
	}
}

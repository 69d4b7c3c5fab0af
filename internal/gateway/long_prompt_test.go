package gateway

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
	"shallotrun/core/work"
)

// longPrompt returns the parts of a prompt: a number of shared ones, given ones, further shared ones and one of its own.
func longPrompt(before, behind int, own string, between ...string) (out []PromptPart) {
	for i := range before {
		out = append(out, PromptPart{fmt.Sprintf("shared-%03d", i), 10})
	}
	for _, p := range between {
		out = append(out, PromptPart{p, 10})
	}
	for i := range behind {
		out = append(out, PromptPart{fmt.Sprintf("behind-%03d", i), 10})
	}
	return append(out, PromptPart{own, 10})
}

// Guards against a part of prompts that ends servers and is not seen because of its place behind many others, and against sound requests
// with the other parts that are refused beside it.
func TestPartBehindManyOthersIsRefused(t *testing.T) {
	for _, c := range []struct {
		before, behind int
		name           string
		soundShare     bool // the sound requests have the parts behind the deadly one as well
	}{
		{4, 0, "deadly", true},
		{16, 0, "deadly", true},
		{18, 0, "deadly", true},
		{18, 4, "deadly", false},
		{18, 0, strings.Repeat("long", 32), true},
		{40, 0, "deadly", true},
		{63, 2, "deadly", true},
		{200, 20, "deadly", true},
		{900, 0, "deadly", true},
	} {
		name := fmt.Sprintf("%d before, %d behind, name of %d bytes", c.before, c.behind, len(c.name))
		b := &fakeBackend{deadlyPart: c.name, deadlyLast: beforeHead, script: []step{{events: 5}}, ended: true}
		now := clock.NewManual(1000)
		g, s := startGatewayAt(t, b, now)
		detail := ""
		for i := range 20 {
			now.Advance(400 * clock.Millisecond)
			r := newRequest("/resumable/1")
			r.ID, r.Parts = fmt.Sprint("deadly-", i), longPrompt(c.before, c.behind, fmt.Sprint("own-", i), c.name)
			refused, ok := g.Serve(r).(Refused)
			assert.Assert(t, ok, name)
			if refused.Status == 503 {
				assert.Equal(t, refused.Code, work.CodePartRefused, name)
				detail = refused.Detail
			}
			restartServers(s)
			r = newRequest("/resumable/1")
			r.ID, r.Parts = fmt.Sprint("sound-", i), longPrompt(c.before, c.behind, fmt.Sprint("sound-own-", i))
			if !c.soundShare {
				r.Parts = longPrompt(c.before, 0, fmt.Sprint("sound-own-", i))
			}
			got, err := readStream(t, g.Serve(r))
			assert.NilError(t, err, name)
			assert.Equal(t, got, events(0, 5), name)
		}
		const crashes, later = 5, 3 // reached servers before the part has to be known, and after that
		assert.Check(t, b.deadlySent() <= crashes+later, "%s: %d requests with the part reached servers", name, b.deadlySent())
		assert.Check(t, strings.Contains(detail, shorten(c.name)), "%s: the refusal does not name the part: %s", name, detail)
	}
}

// Guards against memory that requests with many parts fill while servers are asked whether they have ended.
func TestPendingChecksAreBounded(t *testing.T) {
	var e endChecks
	var started []*endCheck
	for i := range 2 * maxEndChecks {
		for range maxCheckedCrashes {
			c := crashAt{Crash: quarantine.Crash{Rest: make([]uint64, 900)}}
			if check, _ := e.add(backend.Server{ID: fmt.Sprint(i)}, c, "message"); check != nil {
				started = append(started, check)
			}
		}
	}
	assert.Equal(t, len(started), maxEndChecks)
	assert.Check(t, e.rest <= maxPendingRest && e.rest > maxPendingRest-900, "%d hashes", e.rest)
	for _, check := range started {
		assert.Equal(t, len(e.take(check)), maxCheckedCrashes)
	}
	assert.Equal(t, e.rest, 0)
}

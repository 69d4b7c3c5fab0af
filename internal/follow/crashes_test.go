package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
)

// learnWithin is the time in which what one VM saw of a part that ends servers has to count on all VMs.
const learnWithin = 3 * time.Second

// refuses reports whether a VM refuses requests with the part.
func refuses(m *vm) bool {
	r, _ := m.feed.Quarantine.Check(clock.Clock{}.Now(), quarantine.Request{Service: "s", Content: quarantine.Content{Parts: []string{"deadly"}}})
	return r != nil
}

// Guards against VMs that do not learn which part of prompts ends servers, and against a VM that starts, the one that reads the
// store included, and is not told.
func TestStartedVMsAreToldOfCrashes(t *testing.T) {
	s := newStore()
	domains := map[string]string{"a": "x", "b": "y", "c": "y", "e": "z"}
	all := map[string]*vm{}
	for name, domain := range domains {
		all[name] = fleetIn(t, s, domain, name)[0]
	}
	oneReads := func() bool { return storeReader([]*vm{all["a"], all["b"], all["c"], all["e"]}) != nil }
	waitFor(t, "one VM reads the store", oneReads)
	now := clock.Clock{}.Now()
	for i, name := range []string{"a", "b", "e"} {
		all[name].feed.Quarantine.RecordCrash(now.Add(clock.Span(400*i-800)), quarantine.Crash{
			Service: "s", Server: fmt.Sprint("s", i), Prompt: uint64(i), Parts: []string{"deadly"},
		})
	}
	began := time.Now()
	for name := range domains {
		waitFor(t, "the part is refused", func() bool { return refuses(all[name]) })
		assert.Check(t, time.Since(began) < learnWithin, "%s: %v", name, time.Since(began))
	}
	for name, domain := range domains {
		waitFor(t, "one VM reads the store", oneReads)
		pause := time.Second
		if all[name].following() == "" {
			pause = 4 * time.Second // so that the others have tried it again and avoid it for longer
		}
		all[name].stop()
		time.Sleep(pause)
		all[name] = fleetIn(t, s, domain, name)[0]
		waitFor(t, "the VM has started", func() bool { return all[name].feed.Synchronised() })
		began := time.Now()
		waitFor(t, "the part is refused", func() bool { return refuses(all[name]) })
		assert.Check(t, time.Since(began) < learnWithin, "%s, which was stopped for %v, was told after %v", name, pause, time.Since(began))
	}
}

package feed

import (
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/io/peer"
)

// Guards against a VM that starts later and takes a server for cold that was cold when the VM from which it gets the entry read it, also
// if that one had already sent the entry to others.
func TestLaterVMTakesNoWarmServerForCold(t *testing.T) {
	a := synchronised(t, &catalog.Config{Version: 4})
	v := backend.Server{ID: "i-1", Service: "s", Slots: 4, Born: 5, Cold: 3000, ColdRev: 7}
	a.applyChanges(Servers, Batch{Rev: 7, Objects: []Object{{Name: v.ID, Server: &v}}})
	for _, c := range []struct {
		later clock.Span
		want  clock.Span
	}{{0, 3000}, {1000, 2000}, {1700, 300}, {300, 0}, {60_000, 0}} {
		a.Clock.Advance(c.later)
		b := &Feed{Clock: a.Clock}
		d, err := a.ChangesSince(b.ObjectsQuery().Revs, b.ObjectsQuery().Eras)
		assert.NilError(t, err)
		assert.NilError(t, b.ApplyObjects(a.Clock.Boot(), "a", d))
		got := b.Servers(a.Clock.Now(), "s")
		assert.Equal(t, len(got), 1)
		assert.Check(t, got[0].Cold == c.want, "%d ms later: cold for %d ms", c.later, got[0].Cold)
	}
	assert.Equal(t, v.Cold, clock.Span(3000), "the entry itself was changed")
}

// Guards against entries that VMs of an earlier build and of this one cannot read from each other while a fleet is updated.
func TestServersOfAnEarlierBuild(t *testing.T) {
	type earlier struct {
		ID, Service, Addr, Domain, Version string
		Slots                              int
		Leaving                            bool
		Born                               int64
		Made                               uint64
	}
	old := earlier{"i-1", "s", "127.0.0.1:80", "a", "v1", 4, true, 5, 3}
	raw, err := peer.Marshal(old)
	assert.NilError(t, err)
	var now backend.Server
	assert.NilError(t, peer.Unmarshal(raw, &now))
	assert.Equal(t, now, backend.Server{ID: "i-1", Service: "s", Addr: "127.0.0.1:80", Domain: "a", Version: "v1", Slots: 4, Leaving: true, Born: 5, Made: 3})
	warm, err := peer.Marshal(now)
	assert.NilError(t, err)
	assert.DeepEqual(t, warm, raw) // nothing is added for servers that are not cold
	now.Cold, now.ColdRev = 3000, 7
	raw, err = peer.Marshal(now)
	assert.NilError(t, err)
	var back earlier
	assert.NilError(t, peer.Unmarshal(raw, &back))
	assert.Equal(t, back, old)
	var same backend.Server
	assert.NilError(t, peer.Unmarshal(raw, &same))
	assert.Equal(t, same, now)
}

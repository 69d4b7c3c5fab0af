package quarantine

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// earlierCrash is a crash as builds without trials encode it.
type earlierCrash struct {
	Service, Server, Workspace string
	Prompt                     uint64
	Parts                      []string
}

// Guards against crashes that VMs of an earlier build and of this one cannot read from each other while a fleet is updated.
func TestEarlierBuildsReadCrashes(t *testing.T) {
	c := Crash{Service: "s", Server: "i", Workspace: "w", Prompt: 7, Parts: []string{"a"}, Trial: true, NoHead: true, Rest: []uint64{1, 1 << 63}, Body: 1}
	b, err := cbor.Marshal(c)
	assert.NilError(t, err)
	var old earlierCrash
	assert.NilError(t, cbor.Unmarshal(b, &old))
	assert.DeepEqual(t, old, earlierCrash{"s", "i", "w", 7, []string{"a"}})
	b, err = cbor.Marshal(old)
	assert.NilError(t, err)
	var back Crash
	assert.NilError(t, cbor.Unmarshal(b, &back))
	c.Trial, c.NoHead, c.Rest, c.Body = false, false, nil, 0
	assert.DeepEqual(t, back, c)
	c.Rest = []uint64{} // all cleared: not the same as not known
	b, err = cbor.Marshal(c)
	assert.NilError(t, err)
	assert.NilError(t, cbor.Unmarshal(b, &back))
	assert.Assert(t, back.Rest != nil && len(back.Rest) == 0)
}

// Guards against a crash of a trial that counts as another one because a VM of an earlier build passed it on first.
func TestTrialIsLearnedLater(t *testing.T) {
	c := Crash{Service: "s", Server: "i", Workspace: "w", Prompt: 7, Parts: []string{"a"}}
	upstream, vm := newLedger(1), newLedger(2)
	upstream.RecordCrash(1000, c)
	c.Trial = true
	vm.RecordCrash(1000, c)
	exchange(1100, vm, upstream)
	assert.Check(t, upstream.records[0].Trial)
	exchange(1200, vm, upstream)
	assert.Equal(t, exchange(1300, vm, upstream), 0, "the VMs go on telling each other")
}

package delta

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// Guards against records that are sent again although they are known, sent back to the VM that told them, or never sent to a VM
// that started again.
func TestOnlyChangesAreSent(t *testing.T) {
	vm, upstream := &Log{ID: 1}, &Log{ID: 2}
	own := vm.Next()
	exchange := func(up *Log) (sent, answered Receiver) {
		q, sent := vm.Query()
		h, answered := up.Reply(q)
		assert.Check(t, vm.Accept(h))
		return sent, answered
	}
	sent, answered := exchange(upstream)
	assert.Check(t, sent.Lacks(own, 0))
	theirs := upstream.Next()
	assert.Check(t, answered.Lacks(theirs, 0))
	assert.Check(t, !answered.Lacks(theirs, vm.ID), "a record is sent back")

	exchange(upstream)
	sent, answered = exchange(upstream)
	assert.Check(t, !sent.Lacks(own, 0))
	assert.Check(t, !answered.Lacks(theirs, 0))

	again := &Log{ID: 3}
	_, answered = exchange(again)
	assert.Check(t, answered.Lacks(again.Next(), 0))
	_, sent = vm.Query()
	assert.Check(t, sent.Lacks(own, 0), "the log that started again is not told")
	assert.Check(t, !vm.Accept(Header{}))
}

// Guards against field names that differ from those that VMs of earlier builds read.
func TestHeaderNames(t *testing.T) {
	b, err := cbor.Marshal(struct{ Header }{Header{1, 2, 3, 4}})
	assert.NilError(t, err)
	var m map[string]uint64
	assert.NilError(t, cbor.Unmarshal(b, &m))
	assert.DeepEqual(t, m, map[string]uint64{"Ledger": 1, "Rev": 2, "PeerLedger": 3, "PeerRev": 4})
}

package load

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"shallotrun/core/capacity"
	"shallotrun/core/clock"
)

// olderUsage is Usage as an earlier build encodes it.
type olderUsage struct {
	_             struct{} `cbor:",toarray"`
	Server        string
	InFlight      int
	PendingTokens int
	SinceLastByte clock.Span
	LogSlowdown   int
	Streams       int
}

// Guards against loads that a VM of an earlier build cannot read, or that are not understood from it, and against evidence that is lost
// or makes no sense in a message.
func TestEvidenceInMessages(t *testing.T) {
	type older struct{ Loads []olderUsage }
	type newer struct {
		Loads   []Usage
		Learned []Learned `cbor:",omitempty"`
	}
	e := capacity.Evidence{Born: 7, Counts: [4]int{100, 0, 0, 100}, Logs: [4]int{-30, 0, 0, 20}}
	uses := []Usage{{Server: "x", InFlight: 2, Evidence: e}, {Server: "y", InFlight: 1}}
	raw, err := cbor.Marshal(newer{Loads: uses, Learned: Split(uses)})
	assert.NilError(t, err)
	var o older
	assert.NilError(t, cbor.Unmarshal(raw, &o))
	assert.Check(t, len(o.Loads) == 2 && o.Loads[0].InFlight == 2 && o.Loads[1].Server == "y")
	var n newer
	assert.NilError(t, cbor.Unmarshal(raw, &n))
	assert.Check(t, slices.Equal(Join(n.Loads, n.Learned), uses))

	raw, err = cbor.Marshal(o)
	assert.NilError(t, err)
	n = newer{}
	assert.NilError(t, cbor.Unmarshal(raw, &n))
	assert.Check(t, len(n.Loads) == 2 && Join(n.Loads, n.Learned)[0].Evidence.Empty())
	plain := []Usage{{Server: "x", InFlight: 2}}
	was, err := cbor.Marshal(older{Loads: []olderUsage{{Server: "x", InFlight: 2}}})
	assert.NilError(t, err)
	is, err := cbor.Marshal(newer{Loads: plain, Learned: Split(plain)})
	assert.NilError(t, err)
	assert.DeepEqual(t, is, was)

	e.Logs[0] = 1 << 50
	assert.Check(t, Join(plain, []Learned{{Server: "x", Evidence: e}})[0].Evidence.Empty())
}

// Guards against sums of evidence that drift when reports are replaced, or include the asking VM's.
func TestEvidenceIsSummed(t *testing.T) {
	e := func(born int64, n int) capacity.Evidence {
		return capacity.Evidence{Born: born, Counts: [4]int{n, 0, 0, n}}
	}
	a := Aggregator{ReportTTL: 1000}
	for range 3 {
		a.Put(0, "a", []Usage{{Server: "x", Evidence: e(1, 100)}})
		a.Put(0, "b", []Usage{{Server: "x", Evidence: e(1, 30)}})
	}
	assert.Equal(t, a.Sum(0, "").Uses["x"].Evidence, e(1, 130))
	assert.Equal(t, a.Sum(0, "a").Uses["x"].Evidence, e(1, 30))
	a.Put(10, "b", []Usage{{Server: "x", Evidence: e(2, 50)}})
	assert.Equal(t, a.Sum(10, "").Uses["x"].Evidence, e(2, 50), "a later incarnation")
	v := a.Sum(10, "")
	v.Add([]Usage{{Server: "x", Evidence: e(2, 5)}, {Server: "y", Evidence: e(1, 9)}}, 0)
	assert.Equal(t, v.Uses["x"].Evidence, e(2, 55))
	assert.Equal(t, v.Uses["y"].Evidence, e(1, 9))
}

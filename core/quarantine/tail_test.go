package quarantine

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// named is the number of parts of a prompt that the tests keep by name, as the gateway does.
const named = 16

// split returns the named parts of a prompt and its tail.
func split(parts []string) ([]string, *Tail) {
	if len(parts) <= named {
		return parts, nil
	}
	rest := parts[named:]
	return parts[:named], NewTail(len(rest), func(i int) string { return rest[i] })
}

// numbered returns names of parts.
func numbered(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

// crashUnder records that a server ended under a prompt, and that its request may only have waited there.
func (l *Ledger) crashUnder(at clock.Time, server int, prompt uint64, parts ...string) {
	first, tail := split(parts)
	l.RecordCrash(at, Crash{
		Service: "s", Server: fmt.Sprint("s", server), Workspace: "w", Prompt: prompt, Parts: first, Rest: tail.Hashes(), NoHead: true,
	})
}

func (l *Ledger) startUnder(at clock.Time, parts ...string) {
	first, tail := split(parts)
	l.RecordStart(at, "s", Content{Parts: first, Tail: tail})
}

// refuses reports whether a request with a new prompt is refused.
func (l *Ledger) refuses(now clock.Time, parts ...string) bool {
	first, tail := split(parts)
	r, _ := l.Check(now, Request{Service: "s", Workspace: "w", Prompt: 999_999, Content: Content{Parts: first, Tail: tail}})
	return r != nil
}

// Guards against a part that no rule blames because of its place in the prompt, at the VM that saw the crashes and at others, and against
// rules that blame its neighbours.
func TestPartAtAnyPlaceIsBlamed(t *testing.T) {
	for _, c := range []struct {
		before, behind int
		known          bool // answers with the sound parts were started before the crashes
		waiting        int  // sound requests that wait at each server
	}{
		{4, 0, true, 0}, {18, 0, true, 0}, {18, 0, true, 4}, {18, 4, true, 2}, {40, 0, false, 2}, {63, 2, true, 2}, {200, 20, true, 8}, {900, 0, true, 8}, {1500, 0, true, 8},
	} {
		name := fmt.Sprintf("%+v", c)
		sound := slices.Concat(numbered("a", c.before), numbered("z", c.behind))
		deadly := slices.Concat(numbered("a", c.before), []string{"deadly"}, numbered("z", c.behind))
		vms := []*Ledger{newLedger(1), newLedger(2), newLedger(3)}
		at := clock.Time(1000)
		if c.known {
			for _, l := range vms {
				l.startUnder(at, sound...)
			}
		}
		for i, l := range vms {
			at += 400
			for n := range c.waiting {
				l.crashUnder(at, i, uint64(1000+100*i+n), sound...)
			}
			l.crashUnder(at, i, uint64(i+1), deadly...)
		}
		if c.known && c.waiting > 0 { // another server ended for another reason
			vms[0].crashUnder(at, 9, 5000, sound...)
		}
		for range 2 {
			exchange(at, vms[1], vms[0])
			exchange(at, vms[2], vms[0])
		}
		for i, l := range vms {
			assert.Check(t, l.refuses(at, deadly...), "%s: VM %d sends the part on", name, i)
			assert.Check(t, !l.refuses(at, sound...), "%s: VM %d refuses the other parts", name, i)
			assert.Check(t, !l.refuses(at, numbered("other", 30)...), "%s: VM %d refuses others", name, i)
		}
		// The part counts wherever it stands in a prompt: by name here, and by its hash in the crashes.
		vms[0].startUnder(at+100, sound...)
		assert.Check(t, vms[0].refuses(at+200, "deadly"), name)
		vms[0].startUnder(at+300, "deadly")
		assert.Check(t, !vms[0].refuses(at+400, deadly...), name)
	}
}

// Guards against memory and messages that one caller fills with the parts of its prompts, and against a deadly part that is lost by that.
func TestTailsAreBounded(t *testing.T) {
	l, other := newLedger(1), newLedger(2)
	total := func(l *Ledger) (n int) {
		for _, r := range l.records {
			n += len(r.Rest)
		}
		return n
	}
	at := clock.Time(1000)
	sound := numbered("sound", 1500)
	for i := range 3 {
		l.startUnder(at, sound...)
		for n := range 40 { // requests that wait at the server, some of them with parts that were never answered
			l.crashUnder(at, i, uint64(1000*i+n), slices.Concat(numbered("a", named), numbered(fmt.Sprint("new-", i, "-", n), 300*(n%2)), sound)...)
		}
		l.crashUnder(at, i, uint64(1000*i+999), slices.Concat(sound, []string{"deadly"})...)
		assert.Check(t, total(l) <= maxRest, "%d hashes", total(l))
		at += 400
	}
	exchange(at, other, l)
	for _, l := range []*Ledger{l, other} {
		assert.Check(t, total(l) <= maxRest, "%d hashes", total(l))
		assert.Check(t, l.refuses(at, slices.Concat(sound, []string{"deadly"})...), "the part is lost")
		assert.Check(t, !l.refuses(at, sound...), "the others are refused")
	}
	message, err := cbor.Marshal(l.Query(at))
	assert.NilError(t, err)
	assert.Check(t, len(message) < maxRecords*1500+9*maxRest, "%d bytes", len(message))
	assert.Check(t, len(l.started.tails) <= maxTails && l.started.tailParts <= maxTailParts)
	for range 3 * maxTails {
		l.startUnder(at, sound...)
	}
	assert.Check(t, len(l.started.tails) <= maxTails && l.started.tailParts <= maxTailParts, "%d parts", l.started.tailParts)
	n := 0
	for _, s := range l.started.tails {
		n += s.tail.n
	}
	assert.Equal(t, n, l.started.tailParts)
}

// Guards against tails of another VM that are malformed, or so long that they displace all others.
func TestMalformedTailsAreIgnored(t *testing.T) {
	many := make([]uint64, maxRest+1)
	for i := range many {
		many[i] = uint64(i)
	}
	for _, rest := range [][]uint64{{3, 1, 2}, many} {
		l := newLedger(1)
		m := Message{Reports: []Report{{Crash: Crash{Service: "s", Server: "x", Prompt: 1, Parts: []string{"a"}, Rest: rest}}}}
		m.Ledger = 2
		l.Reply(5000, m)
		assert.Equal(t, len(l.records), 1)
		assert.Check(t, l.records[0].Rest == nil)
	}
}

// Guards against a tail that is lost because a VM of an earlier build has passed the crash on without it, and against VMs that go on telling
// each other about it.
func TestTailIsLearnedLater(t *testing.T) {
	upstream, vm, third := newLedger(1), newLedger(2), newLedger(3)
	parts := slices.Concat(numbered("a", 20), []string{"deadly"})
	first, tail := split(parts)
	c := Crash{Service: "s", Server: "x", Workspace: "w", Prompt: 7, Parts: first}
	m := Message{Reports: []Report{{Crash: c, Age: 100}}}
	m.Ledger = 9
	upstream.Reply(1100, m) // an earlier build
	c.Rest = tail.Hashes()
	vm.RecordCrash(1000, c)
	exchange(1100, vm, upstream)
	assert.DeepEqual(t, upstream.records[0].Rest, tail.Hashes())
	exchange(1150, third, upstream)
	upstream.startUnder(1200, numbered("a", 20)...)
	exchange(1300, vm, upstream)
	exchange(1300, third, upstream)
	for _, l := range []*Ledger{upstream, vm, third} {
		assert.DeepEqual(t, l.records[0].Rest, []uint64{HashPart("deadly")})
		l.startUnder(1400, "deadly")
		assert.DeepEqual(t, l.records[0].Rest, []uint64{}) // cleared, and not taken for one that is not known
	}
	exchange(1500, vm, upstream)
	exchange(1500, third, upstream)
	exchange(1600, vm, upstream)
	assert.Equal(t, exchange(1700, vm, upstream)+exchange(1700, third, upstream), 0, "the VMs go on telling each other")
}

// Guards against an answer that is taken for proof although a part of the prompt's tail was not answered.
func TestTailIsProven(t *testing.T) {
	l := newLedger(1)
	proven := func(now clock.Time, parts ...string) bool {
		first, tail := split(parts)
		return l.Proven(now, "s", Content{Parts: first, Tail: tail})
	}
	parts := numbered("a", 40)
	assert.Check(t, !proven(900, parts...))
	l.startUnder(1000, parts...)
	assert.Check(t, proven(1100, parts...))
	assert.Check(t, proven(1100, parts[:30]...))
	assert.Check(t, !proven(1100, slices.Concat(parts, []string{"new"})...))
	assert.Check(t, !proven(1000+clock.Time(startedWindow), parts...))
}

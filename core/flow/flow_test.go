package flow

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// world is a driver whose servers, queue and network do anything that is possible.
type world struct {
	t     *rapid.T
	f     *Flow
	total int // tokens of the whole answer

	now      clock.Time
	checked  bool // the last event was Checked
	clean    bool // every call so far was refused by its server or never sent
	seen     int  // last token given to the caller
	held     int
	next     int // token that the open attempt sends next
	filed    int
	accepted bool
	steps    int
}

func (w *world) refusal() *work.Refusal {
	return &work.Refusal{Code: work.CodeOverloaded, Status: 503, Ran: work.NotRun}
}

// chance is true once in n times.
func (w *world) chance(n int) bool { return rapid.IntRange(1, n).Draw(w.t, "chance") == 1 }

// do carries out a command and returns the next event, nil after a final command.
func (w *world) do(c Command) Event {
	checked := w.checked
	w.checked = false
	switch c := c.(type) {
	case Queue:
		if c.Fresh {
			assert.Assert(w.t, w.f.Buffered || w.f.stage < len(w.f.Stages)-1)
			w.seen, w.held = 0, 0
		}
		if w.chance(12) {
			return Refused{w.refusal()}
		}
		return Granted{rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "server")}
	case Check:
		if w.chance(12) {
			return Refused{w.refusal()}
		}
		if w.f.Fresh() && w.chance(8) {
			return Rerouted{w.f.Stages}
		}
		w.checked = true
		return Checked{}
	case Call:
		assert.Assert(w.t, c.Resume || checked, "a new generation without a check")
		assert.Assert(w.t, c.From <= w.f.Last)
		w.next = c.From + 1
		return w.event()
	case Read:
		return w.event()
	case Deliver:
		w.seen++
		assert.Equal(w.t, w.f.Last, w.seen, "tokens in order, each once")
		return w.event()
	case Hold:
		w.held++
		assert.Equal(w.t, w.f.Last, w.held)
		return w.event()
	case Spend:
		return Spent{OK: !w.chance(6)}
	case Pause:
		return Elapsed{}
	case Cancel:
		return Cancelled{Tokens: w.f.Last + rapid.IntRange(0, 2).Draw(w.t, "more")}
	case Rate:
		w.accepted = w.chance(2)
		return Rated{Accept: w.accepted, Next: rapid.IntRange(0, 3).Draw(w.t, "next")}
	case Discard:
		w.held = 0
		return Start{}
	case Release:
		w.seen = w.held
		return Start{}
	case File:
		w.filed++
		assert.Assert(w.t, w.filed == 1 && len(w.f.Bill()) > 0)
		return Filed{Taken: w.chance(8)}
	}
	w.final(c)
	return nil
}

// event is what an attempt shows next.
func (w *world) event() Event {
	n := w.f.Attempt()
	if n > 1 && w.chance(15) { // a late event of an earlier attempt
		n--
	}
	switch k := rapid.IntRange(0, 20).Draw(w.t, "kind"); k {
	case 0:
		return w.failed(Failed{n, Silent, nil})
	case 1:
		return w.failed(Failed{n, Broken, nil})
	case 2:
		if w.f.heard { // a server that has the request does not refuse it
			return w.failed(Failed{n, Forgotten, nil})
		}
		return Failed{n, Rejected, w.refusal()}
	case 3:
		return Failed{n, Unsent, nil}
	case 4:
		return w.failed(Failed{n, Errored, nil})
	case 5:
		return Gone{}
	case 6:
		w.clean = w.clean && n != w.f.Attempt()
		return Waiting{n}
	case 7: // a number that does not come next
		w.clean = w.clean && n != w.f.Attempt()
		return &Token{n, rapid.IntRange(1, w.total+2).Draw(w.t, "number")}
	}
	w.clean = w.clean && n != w.f.Attempt()
	if w.next > w.total {
		return End{Attempt: n, Tokens: w.total, Prompt: 1, Cancelled: w.chance(20)}
	}
	if n == w.f.Attempt() {
		w.next++
		return &Token{n, w.next - 1}
	}
	return &Token{n, w.next}
}

func (w *world) failed(e Failed) Event {
	w.clean = w.clean && e.Attempt != w.f.Attempt()
	return e
}

func (w *world) final(c Command) {
	var r *work.Refusal
	switch c := c.(type) {
	case Finish:
		assert.Equal(w.t, w.filed, 1)
		assert.Equal(w.t, w.seen, w.total, "a finished answer is whole")
	case Refuse:
		r = c.Refusal
		assert.Assert(w.t, w.f.Buffered || w.seen == 0)
	case Break:
		r = c.Refusal
	}
	if r != nil {
		assert.Assert(w.t, r.Ran != work.NotRun || w.clean, "%+v", r)
	}
	tokens := 0
	for _, s := range w.f.Bill() {
		tokens += s.Tokens
	}
	assert.Assert(w.t, tokens >= w.seen, "%d tokens billed, %d delivered", tokens, w.seen)
	assert.Assert(w.t, w.filed == 1 || tokens == 0)
}

// Guards against a state machine that, for some order of faults, delivers a wrong or cut answer, bills twice or
// not at all, starts work unchecked, says "not run" of work that may have run, or does not end.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Flow{Retries: 2, Resumes: 3, Buffered: rapid.Bool().Draw(t, "buffered")}
		for range rapid.IntRange(1, 3).Draw(t, "stages") {
			f.Stages = append(f.Stages, Stage{Model: "m", Version: "v", Exact: rapid.Bool().Draw(t, "exact")})
		}
		w := &world{t: t, f: f, total: rapid.IntRange(0, 8).Draw(t, "tokens"), clean: true}
		if rapid.Bool().Draw(t, "resumed") {
			f.Buffered, f.Stages = false, f.Stages[:1]
			f.Resumed, f.Server, f.Last, w.clean = true, "a", rapid.IntRange(0, w.total).Draw(t, "last"), false
			w.seen = f.Last
		}
		for ev := Event(Start{}); ev != nil; {
			c := f.Step(w.now, ev)
			ev = w.do(c)
			w.steps++
			assert.Assert(t, w.steps < 2000, "the flow does not end")
		}
		assert.Assert(t, f.Done())
	})
}

// Guards against a generation that goes on after its deadline without a first token, and against a deadline
// that cuts an answer which has begun.
func TestDeadline(t *testing.T) {
	for _, tokens := range []int{0, 1} {
		f := &Flow{Stages: []Stage{{}}, Deadline: 100, Resumes: 3}
		f.Step(0, Start{})
		f.Step(0, Granted{"a"})
		_, called := f.Step(0, Checked{}).(Call)
		assert.Assert(t, called)
		for n := range tokens {
			f.Step(50, &Token{1, n + 1})
		}
		_, cancelled := f.Step(100, Waiting{1}).(Cancel)
		assert.Equal(t, cancelled, tokens == 0)
	}
}

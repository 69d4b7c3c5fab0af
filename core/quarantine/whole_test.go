package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// wholeCrash is the end of a server under a request without a prompt.
func wholeCrash(server int, request string) Crash {
	return Crash{
		Service: "s", Server: fmt.Sprint("s", server), Workspace: "w", Prompt: uint64(len(request) + 1), Parts: []string{WholeRequest(request)},
	}
}

// check returns the refusal of a request.
func check(l *Ledger, now clock.Time, q Request) *Refusal {
	r, _ := l.Check(now, q)
	return r
}

func wholeRequest(request string) Request {
	return Request{Service: "s", Workspace: "w", Content: Content{Parts: []string{WholeRequest(request)}}}
}

// Guards against a request that is sent to servers again after three have ended under it, and against sound requests that are refused
// because they ran at servers that ended under it.
func TestWholeRequestIsBlamed(t *testing.T) {
	l := newLedger(1)
	for i := range 3 {
		at := clock.Time(1000 + 1000*i)
		l.RecordCrash(at, wholeCrash(i, "deadly"))
		if i < 2 {
			l.RecordCrash(at, wholeCrash(i, "sound one"))
		}
	}
	r := check(l, 3500, wholeRequest("deadly"))
	assert.Assert(t, r != nil && !r.Repeat, "%+v", r)
	assert.Equal(t, r.Servers, 3)
	assert.Assert(t, check(l, 3500, wholeRequest("sound one")) == nil, "its two servers ended under the other request")
	assert.Assert(t, check(l, 3500, wholeRequest("other")) == nil)
	assert.Assert(t, check(l, clock.Time(maxAge)+4000, wholeRequest("deadly")) == nil, "the request may have been mended")
}

// Guards against a sound request that is not sent again after the first server that ended while it may only have waited there, although its
// prompt has a part that was never answered, and against one that is sent to a third server.
func TestRequestThatMayHaveWaitedIsRepeated(t *testing.T) {
	q := Request{Service: "s", Workspace: "w", Prompt: 7, Content: Content{Parts: []string{"first", "rare", WholeRequest("one")}}}
	for _, c := range []struct {
		name   string
		noHead []bool // by crash
		want   bool
	}{
		{"no head", []bool{true}, false},
		{"a head", []bool{false}, true},
		{"no head at two servers", []bool{true, true}, true},
	} {
		l := newLedger(1)
		for i, noHead := range c.noHead {
			l.RecordCrash(clock.Time(1000+i), Crash{
				Service: "s", Server: fmt.Sprint(i), Workspace: "w", Prompt: q.Prompt, Parts: q.Parts, NoHead: noHead,
			})
		}
		assert.Equal(t, check(l, 1100, q) != nil, c.want, c.name)
	}
}

// Guards against a request that is tried at a third server while it may be to blame, against one that is refused although it was
// answered since, and against one that is refused because a single server ended under it.
func TestWholeRequestIsHeldBack(t *testing.T) {
	l := newLedger(1)
	l.RecordCrash(1000, wholeCrash(0, "deadly"))
	assert.Assert(t, check(l, 1100, wholeRequest("deadly")) == nil)
	l.RecordCrash(1100, wholeCrash(1, "deadly"))
	r := check(l, 1200, wholeRequest("deadly"))
	assert.Assert(t, r != nil && r.Repeat, "%+v", r)
	l.RecordStart(1300, "s", Content{Parts: []string{WholeRequest("deadly")}})
	assert.Assert(t, check(l, 1400, wholeRequest("deadly")) == nil)
}

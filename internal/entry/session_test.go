package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/document"
	"shallotrun/core/work"
)

// Guards against a session that changes its version, and against work on withdrawn or draining versions.
func TestSessionKeepsItsVersion(t *testing.T) {
	f := &fakes{}
	d := start(t, f, []string{startBackend(t, fiveTokens).addr}, nil)
	resp := post(t, d, chatBody("m", false), "Shallot-Session", "new")
	session := resp.Header.Get("Shallot-Session")
	assert.Check(t, session != "" && resp.Header.Get("Shallot-Model") == "m@v1")

	state := func(s string) func(*document.Document) {
		return func(x *document.Document) {
			x.Models[0].Versions = []document.Version{{Name: "v1", State: s}, {Name: "v2", State: document.Live}}
		}
	}
	for _, c := range []struct {
		name, session, state, model, code string
	}{
		{"live session", session, document.Live, "m@v1", ""},
		{"draining session", session, document.Draining, "m@v1", ""},
		{"draining, no session", "", document.Draining, "m@v2", ""},
		{"withdrawn session", session, document.Withdrawn, "", "version-withdrawn"},
		{"withdrawn, no session", "", document.Withdrawn, "m@v2", ""},
	} {
		f.change(state(c.state))
		var h []string
		if c.session != "" {
			h = []string{"Shallot-Session", c.session}
		}
		resp := post(t, d, chatBody("m", true), h...)
		if c.code != "" {
			got, ran := code(t, resp)
			assert.Check(t, got == c.code && ran == "not run", "%s: %s", c.name, got)
			continue
		}
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		if c.name == "live session" {
			assert.Equal(t, resp.Header.Get("Shallot-Session"), session)
		}
		assert.Equal(t, resp.Header.Get("Shallot-Model"), c.model, c.name)
	}
	got, _ := code(t, post(t, d, chatBody("x", false), "Shallot-Session", session))
	assert.Equal(t, got, "session-invalid")
}

// Guards against a version check that is made only on arrival: a request that is queued while its version is withdrawn must
// not run on that version.
func TestCheckAtDispatch(t *testing.T) {
	f := &fakes{}
	e := startBackend(t, fiveTokens)
	var slots atomic.Int64
	slots.Store(-1)
	d := start(t, f, []string{e.addr}, nil, func(d *Daemon) {
		d.ServerSlots = func(string, string, int) int { return int(slots.Load()) }
	})
	fixed := make(chan string, 1)
	go func() { c, _ := code(t, post(t, d, chatBody("m@v1", false))); fixed <- c }()
	routed := make(chan string, 1)
	go func() { routed <- post(t, d, chatBody("label", false)).Header.Get("Shallot-Model") }()
	opened := make(chan *http.Response, 1)
	go func() { opened <- post(t, d, chatBody("m", false), "Shallot-Session", "new") }()
	moved := make(chan string, 1)
	go func() { moved <- post(t, d, chatBody("m", false)).Header.Get("Shallot-Model") }()
	waitFor(t, func() bool {
		if len(d.allPools()) == 0 {
			return false
		}
		p := d.allPools()[0]
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.tickets) == 4
	})
	f.change(func(x *document.Document) {
		x.Models[0].Versions = []document.Version{{Name: "v1", State: document.Withdrawn}, {Name: "v2", State: document.Live}}
		x.Routes[0].Model = "x"
	})
	slots.Store(4)
	assert.Equal(t, <-fixed, "version-withdrawn")
	assert.Equal(t, <-moved, "m@v2")
	assert.Equal(t, <-routed, "x@v1")
	first := <-opened
	assert.Equal(t, first.Header.Get("Shallot-Model"), "m@v2")
	next := post(t, d, chatBody("m", false), "Shallot-Session", first.Header.Get("Shallot-Session"))
	assert.Equal(t, next.Header.Get("Shallot-Model"), "m@v2")
	assert.Equal(t, e.count(generate), 4)
}

// Guards against a stream that cannot be resumed through another entry VM, or that is billed by both VMs.
func TestResumeAtAnotherVM(t *testing.T) {
	f := &fakes{}
	gate := make(chan struct{})
	e := startBackend(t, func(n int, c net.Conn, r *http.Request, body map[string]any) {
		if r.URL.Path == "/v1/generate" && n == 1 {
			open(c)
			tokens(c, 1, 2)
			<-gate
			time.Sleep(time.Second)
			return
		}
		fiveTokens(n, c, r, body)
	})
	d := start(t, f, []string{e.addr}, nil)
	first := post(t, d, chatBody("m", true))
	id := ""
	s := bufio.NewScanner(first.Body)
	for s.Scan() && !strings.HasSuffix(id, ".2") {
		if v, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			id = v
		}
	}
	// The first VM has lost the connections to the caller and the engine. It only finds the bill taken over when it saves it.
	f.mu.Lock()
	f.takenOver[first.Header.Get("Shallot-Request")] = true
	f.mu.Unlock()

	g := &fakes{}
	d2 := start(t, g, nil, nil)
	resp := post(t, d2, "", "Last-Event-ID", id)
	got := readEvents(resp)
	close(gate)
	assert.Check(t, got.done, "%+v", got)
	assert.Equal(t, got.text, " t3 t4 t5")
	assert.Check(t, strings.HasSuffix(got.last, ".5"))
	assert.Equal(t, resp.Header.Get("Shallot-Request"), first.Header.Get("Shallot-Request"))
	assert.Equal(t, len(g.billed()), 1)
	assert.Equal(t, g.billed()[0].Stages[0].Tokens, 5)

	rest := readEvents(first)
	assert.Check(t, !rest.done && rest.err != nil, "the first VM must not end the stream normally: %+v", rest)
	assert.Equal(t, len(f.billed()), 0)
}

// Guards against an old exchange that cancels or bills the generation after its caller has reconnected to the same VM while the
// old connection is still open.
func TestResumeAtTheSameVM(t *testing.T) {
	f := &fakes{}
	e := startBackend(t, slowTokens)
	d := start(t, f, []string{e.addr}, nil)
	first := post(t, d, chatBody("m", true))
	id := ""
	s := bufio.NewScanner(first.Body)
	for s.Scan() && !strings.HasSuffix(id, ".3") {
		if v, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			id = v
		}
	}
	second := post(t, d, chatBody("m", true), "Last-Event-ID", id)
	rest := readEvents(first)
	assert.Check(t, !rest.done)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, e.count("POST /v1/cancel")+len(f.billed()), 0)
	assert.NilError(t, second.Body.Close())
	waitFor(t, func() bool { return e.count("POST /v1/cancel") == 1 && len(f.billed()) == 1 })
}

// Guards against wrong handling of the loss of an entry VM together with the engine: the answer of an exact version is
// generated again on another engine if the caller repeats its request, and that of any other version ends with a refusal.
func TestResumeOfLostGeneration(t *testing.T) {
	for _, c := range []struct{ model, body, text, code string }{
		{"x", chatBody("x", true), " t4 t5", ""},
		{"x", "", "", "resume-gone"},
		{"x", strings.Replace(chatBody("x", true), "hello", "bye", 1), "", "resume-gone"},
		{"m", chatBody("m", true), "", "resume-gone"},
	} {
		f := &fakes{}
		e := startBackend(t, func(n int, conn net.Conn, r *http.Request, body map[string]any) {
			switch {
			case r.URL.Path == "/v1/generate" && n == 1:
				open(conn)
				tokens(conn, 1, 3)
				_ = conn.Close()
			case body["attach"] == true:
				reply(conn, 404, forgottenBody)
			default:
				fiveTokens(n, conn, r, body)
			}
		})
		f2 := &fakes{}
		d := start(t, f, []string{e.addr}, nil)
		d2 := start(t, f2, []string{e.addr}, nil)
		if c.model == "x" { // so that the first VM does not restart the generation
			f.change(func(x *document.Document) { x.Models[1].Versions[0].Exact = false })
		}
		first := readEvents(post(t, d, chatBody(c.model, true)))
		assert.Equal(t, first.text, " t1 t2 t3")
		resp := post(t, d2, c.body, "Last-Event-ID", first.last)
		if c.code != "" {
			got, ran := code(t, resp)
			assert.Check(t, got == c.code && ran == "unknown", got)
			continue
		}
		rest := readEvents(resp)
		assert.Check(t, rest.done && rest.text == c.text, "%+v", rest)
	}
}

// Guards against a VM that has just started and sends work to a leaving engine, because it has only the lagging list of VMs
// from the platform.
func TestNewVMFetchesLoadFirst(t *testing.T) {
	leaving := startBackend(t, func(n int, c net.Conn, r *http.Request, body map[string]any) {
		if r.URL.Path == "/v1/load" {
			reply(c, 200, `{"slots":4,"leaving":true}`)
			return
		}
		fiveTokens(n, c, r, body)
	})
	live := startBackend(t, fiveTokens)
	f := &fakes{}
	d := start(t, f, []string{leaving.addr, live.addr}, nil, func(*Daemon) {
		for i := range f.servers["engines"] {
			f.servers["engines"][i].Kind = work.KindEngine
		}
	})
	for range 20 {
		resp := post(t, d, chatBody("m", false))
		assert.Equal(t, resp.StatusCode, 200)
		_ = resp.Body.Close()
	}
	assert.Equal(t, leaving.count("POST /v1/generate"), 0)
	assert.Equal(t, live.count("POST /v1/generate"), 20)
}

// Guards against an engine that refused once because it leaves, stays after all, and gets no work for ever: its load reports must still be
// fetched, as nothing else says so.
func TestLeavingEngineIsAskedAgain(t *testing.T) {
	engine := startBackend(t, fiveTokens)
	f := &fakes{}
	d := start(t, f, []string{engine.addr}, nil, func(*Daemon) {
		f.servers["engines"][0].Kind = work.KindEngine
		f.servers["engines"][0].State = work.StateLeaving
	})
	_ = post(t, d, chatBody("m", false)).Body.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		n := len(f.reported)
		f.mu.Unlock()
		if n > 1 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%d load reports were recorded", n)
	}
}

package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// scripted returns a respondFunc that answers the nth generate call with the nth element of calls. Further calls get the whole
// answer, and other paths an empty object.
func scripted(calls ...func(c net.Conn, body map[string]any)) respondFunc {
	return func(n int, c net.Conn, r *http.Request, body map[string]any) {
		if r.URL.Path == "/v1/generate" && n <= len(calls) {
			calls[n-1](c, body)
			return
		}
		fiveTokens(n, c, r, body)
	}
}

func silentAfter(n int) func(net.Conn, map[string]any) {
	return func(c net.Conn, _ map[string]any) {
		open(c)
		tokens(c, 1, n)
		time.Sleep(2 * time.Second)
	}
}

func brokenAfter(n int) func(net.Conn, map[string]any) {
	return func(c net.Conn, _ map[string]any) {
		open(c)
		tokens(c, 1, n)
		_ = c.Close()
	}
}

func status(n int, body string) func(net.Conn, map[string]any) {
	return func(c net.Conn, _ map[string]any) { reply(c, n, body) }
}

const (
	refusalBody   = `{"code":"full","ran":false}`
	forgottenBody = `{"code":"gone","ran":false}`
)

// Guards against answers that are truncated, repeated or mixed up when connections and servers fail.
func TestFaultsOfEngines(t *testing.T) {
	for _, c := range []struct {
		name, model string
		first       respondFunc // of both engines
		text        string      // whole answer, or the part delivered before the error event
		code        string      // of the error event, "" for a complete answer
		calls       int         // generate calls at both engines
		billed      int         // tokens on the bill
	}{
		{"silent connection", "m", scripted(silentAfter(2)), fiveText, "", 2, 5},
		{"broken connection", "m", scripted(brokenAfter(3)), fiveText, "", 2, 5},
		{"silent twice", "m", scripted(silentAfter(1), silentAfter(3)), fiveText, "", 3, 5},
		{"silent before the first token", "m", scripted(silentAfter(0)), fiveText, "", 2, 5},
		{"closed after reading the request", "m", scripted(func(c net.Conn, _ map[string]any) { _ = c.Close() }), fiveText, "", 2, 5},
		{"old tokens again", "m", scripted(brokenAfter(2), func(c net.Conn, _ map[string]any) {
			open(c)
			tokens(c, 1, 5)
			end(c, 5)
		}), fiveText, "", 2, 5},
		{"gap between tokens", "m", scripted(func(c net.Conn, _ map[string]any) {
			open(c)
			tokens(c, 1, 2)
			tokens(c, 4, 5)
			end(c, 5)
		}), fiveText, "", 2, 5},
		{"end before the last token", "m", scripted(func(c net.Conn, _ map[string]any) {
			open(c)
			tokens(c, 1, 2)
			end(c, 5)
		}), fiveText, "", 2, 5},
		{"answer of another request", "m", scripted(func(c net.Conn, _ map[string]any) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nShallot-Request: someone\r\nConnection: close\r\n\r\n")
			tokens(c, 1, 5)
			end(c, 5)
		}), fiveText, "", 2, 5},
		{"event over the limit", "m", scripted(func(c net.Conn, _ map[string]any) {
			open(c)
			tokens(c, 1, 1)
			fmt.Fprintf(c, "id: 2\ndata: {\"text\":%q}\n\n", strings.Repeat("a", 70<<10))
		}), fiveText, "", 2, 5},
		{"bytes that are no event, in the write of a token", "m", scripted(func(c net.Conn, _ map[string]any) {
			open(c)
			fmt.Fprint(c, "id: 1\ndata: {\"text\":\" t1\"}\n\n"+strings.Repeat("returned to the free list\n\n", 80)+"data: x\n\n")
			_ = c.Close()
		}), fiveText, "", 2, 5},
		{"replica lost", "m", scripted(brokenAfter(2), status(404, forgottenBody)), " t1 t2", "backend-failed", 2, 2},
		{"replica lost, exact version", "x", scripted(brokenAfter(2), status(404, forgottenBody)), fiveText, "", 3, 5},
		{"generation cancelled by someone", "m", scripted(func(c net.Conn, _ map[string]any) {
			open(c)
			tokens(c, 1, 2)
			fmt.Fprint(c, "event: end\ndata: {\"tokens\":2,\"reason\":\"cancelled\",\"prompt\":3}\n\n")
		}), " t1 t2", "backend-failed", 1, 2},
		{"generation cancelled, reason as the engines name it", "m", scripted(func(c net.Conn, _ map[string]any) {
			open(c)
			tokens(c, 1, 2)
			fmt.Fprint(c, "event: end\ndata: {\"tokens\":2,\"reason\":\"cancel\",\"prompt\":3}\n\n")
		}), " t1 t2", "backend-failed", 1, 2},
		{"own refusal", "m", scripted(status(503, refusalBody)), fiveText, "", 2, 5},
		{"error", "m", scripted(status(500, "{}")), fiveText, "", 2, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			// The engines share the number of the call, so that the faults occur in the order given.
			shared := func(_ int, conn net.Conn, r *http.Request, body map[string]any) {
				if r.URL.Path == "/v1/generate" {
					n.Add(1)
				}
				c.first(int(n.Load()), conn, r, body)
			}
			e, o := startBackend(t, shared), startBackend(t, shared)
			f := &fakes{}
			d := start(t, f, []string{e.addr, o.addr}, nil)
			resp := post(t, d, chatBody(c.model, true))
			got := readEvents(resp)
			assert.Equal(t, got.text, c.text)
			assert.Equal(t, got.done, c.code == "")
			assert.Check(t, strings.Contains(got.problem, c.code), got.problem)
			if c.code != "" {
				assert.Check(t, got.err != nil, "a failed stream must not end normally")
				assert.Check(t, strings.Contains(got.problem, `"ran":"unknown"`), got.problem)
			}
			assert.Equal(t, e.count(generate)+o.count(generate), c.calls)
			bills := f.billed()
			assert.Assert(t, len(bills) == 1, "%v", bills)
			assert.Equal(t, bills[0].Stages[0].Tokens, c.billed)
			attempts := map[any]bool{}
			for _, x := range append(e.bodies(generate), o.bodies(generate)...) {
				assert.Check(t, !attempts[x["attempt"]], "two calls for one attempt: %v", x)
				attempts[x["attempt"]] = true
				assert.Check(t, x["attach"] != true || from(x) > 0, "%v", x)
			}
		})
	}
}

// Guards against a refusal that says "not run" after a server may have run the request.
func TestRefusalAfterUnknownRun(t *testing.T) {
	f := &fakes{}
	var n atomic.Int64
	e := startBackend(t, func(_ int, c net.Conn, r *http.Request, _ map[string]any) {
		if r.URL.Path != "/v1/generate" {
			reply(c, 200, "{}")
			return
		}
		if n.Add(1) == 1 {
			reply(c, 500, "{}")
			return
		}
		reply(c, 503, refusalBody)
	})
	d := start(t, f, []string{e.addr}, nil)
	resp := post(t, d, chatBody("m", false))
	_, ran := code(t, resp)
	assert.Equal(t, ran, "unknown")

	f2 := &fakes{}
	e2 := startBackend(t, func(_ int, c net.Conn, _ *http.Request, _ map[string]any) { reply(c, 503, refusalBody) })
	resp = post(t, start(t, f2, []string{e2.addr}, nil), chatBody("m", false))
	_, ran = code(t, resp)
	assert.Equal(t, ran, "not run")
	assert.Check(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, len(f.billed())+len(f2.billed()), 0)
}

// slowTokens sends a token every 20 ms until the connection fails, at most 500 tokens.
func slowTokens(_ int, c net.Conn, r *http.Request, body map[string]any) {
	if r.URL.Path == "/v1/cancel" {
		reply(c, 200, `{"tokens":7}`)
		return
	}
	if r.URL.Path != "/v1/generate" {
		reply(c, 200, "{}")
		return
	}
	open(c)
	for n := from(body) + 1; n <= 500; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: {\"text\":\" t\"}\n\n", n); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	end(c, 500)
}

// Guards against a generation that continues, or is not billed, after its caller disconnected: during a stream, while the
// answer is buffered, and while the request is queued.
func TestCallerGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		stream bool
		slots  int
		bills  int
		least  int // minimum number of tokens billed; the engine reports 7 when it cancels
	}{{"stream", true, 4, 1, 1}, {"whole", false, 4, 1, 7}, {"queue", false, -1, 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fakes{}
			e := startBackend(t, slowTokens)
			d := start(t, f, []string{e.addr}, nil, func(d *Daemon) {
				d.ServerSlots = func(string, string, int) int { return c.slots }
			})
			conn, err := net.Dial("tcp", d.Addr().String())
			assert.NilError(t, err)
			b := chatBody("m", c.stream)
			fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(b), b)
			time.Sleep(150 * time.Millisecond)
			assert.NilError(t, conn.Close())
			waitFor(t, func() bool { return e.count("POST /v1/cancel") == c.bills && len(f.billed()) == c.bills })
			if c.bills > 0 {
				assert.Check(t, f.billed()[0].Stages[0].Tokens >= c.least)
			}
			waitFor(t, func() bool {
				p := d.allPools()[0]
				p.mu.Lock()
				defer p.mu.Unlock()
				return len(p.inFlight)+len(p.tickets) == 0
			})
		})
	}
}

func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for i := 0; i < 1000 && !ok(); i++ {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, ok())
}

// Guards against a caller that stops reading and occupies a stream, a slot and a generation forever.
func TestCallerStopsReading(t *testing.T) {
	f := &fakes{}
	e := startBackend(t, func(_ int, c net.Conn, r *http.Request, _ map[string]any) {
		if r.URL.Path != "/v1/generate" {
			reply(c, 200, "{}")
			return
		}
		open(c)
		text := strings.Repeat("a", 8<<10)
		for n := 1; n <= 5000; n++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: {\"text\":%q}\n\n", n, text); err != nil {
				return
			}
		}
	})
	d := start(t, f, []string{e.addr}, nil, func(d *Daemon) { d.WriteTimeout = 200 * clock.Millisecond })
	conn, err := net.Dial("tcp", d.Addr().String())
	assert.NilError(t, err)
	defer conn.Close() //nolint:errcheck // a test connection
	b := chatBody("m", true)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(b), b)
	waitFor(t, func() bool { return len(f.billed()) == 1 && e.count("POST /v1/cancel") == 1 })
}

// Guards against a graceful shutdown that truncates a stream, accepts new work or does not end because of idle connections.
func TestGracefulShutdown(t *testing.T) {
	f := &fakes{}
	e := startBackend(t, func(n int, c net.Conn, r *http.Request, body map[string]any) {
		if r.URL.Path != "/v1/generate" {
			reply(c, 200, "{}")
			return
		}
		open(c)
		for n := 1; n <= 5; n++ {
			tokens(c, n, n)
			time.Sleep(200 * time.Millisecond)
		}
		end(c, 5)
	})
	f.snapshot = &document.Snapshot{Revision: 1, Document: testDocument()}
	d := start(t, f, []string{e.addr}, nil)
	// The daemon under test is a second one, whose context the test can cancel.
	ctx, cancel := context.WithCancel(context.Background())
	d2 := &Daemon{Name: "e2", Domain: "a", Listen: "127.0.0.1:0", TokenKeys: d.TokenKeys, Documents: f, Servers: f, Bills: f, Claims: f}
	done := make(chan error, 1)
	go func() { done <- d2.Run(ctx) }()
	waitFor(t, d2.Ready)
	idle, err := net.Dial("tcp", d2.Addr().String())
	assert.NilError(t, err)
	defer idle.Close() //nolint:errcheck // a test connection
	resp := post(t, d2, chatBody("m", true))
	cancel()
	time.Sleep(50 * time.Millisecond)
	assert.Check(t, !d2.Ready())
	late := post(t, d2, chatBody("m", true))
	got, ran := code(t, late)
	assert.Check(t, got == "stopping" && ran == "not run" && late.Header.Get("Retry-After") != "", got)
	time.Sleep(300 * time.Millisecond)
	if c, err := net.Dial("tcp", d2.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("a new connection was accepted")
	}
	select {
	case <-done:
		t.Fatal("Run returned before the stream ended")
	default:
	}
	all := readEvents(resp)
	assert.NilError(t, all.err)
	assert.Check(t, all.done && all.text == fiveText, "%+v", all)
	assert.NilError(t, <-done)
}

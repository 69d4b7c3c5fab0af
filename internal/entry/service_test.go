package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/work"
)

// Guards against calls that run twice, against allowed retries that are not made, and against a refusal that states
// falsely that the call did not run.
func TestServiceCalls(t *testing.T) {
	ok := func(c net.Conn) { reply(c, 201, `{"number":1}`) }
	closed := func(c net.Conn) { _ = c.Close() }
	refused := func(c net.Conn) { reply(c, 503, refusalBody) }
	silent := func(net.Conn) {}
	busy := func(c net.Conn) { reply(c, 503, `{"error":"busy"}`) }
	for _, c := range []struct {
		name, method, path, key string
		answers                 []func(net.Conn) // of the first calls; further calls get ok
		status                  int
		code, ran               string
		calls                   int // at all replicas
	}{
		{"issue", "POST", "/issue", "", nil, 201, "", "", 1},
		{"issue, connection closed", "POST", "/issue", "", []func(net.Conn){closed}, 502, "backend-failed", "unknown", 1},
		{"issue, own refusal", "POST", "/issue", "", []func(net.Conn){refused}, 503, "overloaded", "not run", 1},
		{"issue, status without refusal", "POST", "/issue", "", []func(net.Conn){busy}, 503, "", "", 1},
		{"issue with key", "POST", "/issue", "k1", nil, 201, "", "", 1},
		{"issue with key, connection closed", "POST", "/issue", "k2", []func(net.Conn){closed}, 502, "backend-failed", "unknown", 1},
		{"issue with key, own refusal", "POST", "/issue", "k3", []func(net.Conn){refused}, 201, "", "", 2},
		{"find, connection closed", "POST", "/find", "", []func(net.Conn){closed}, 201, "", "", 2},
		{"find, own refusal", "POST", "/find", "", []func(net.Conn){refused, refused}, 201, "", "", 3},
		{"find, closed and then refused", "POST", "/find", "", []func(net.Conn){closed, refused, refused}, 503, "overloaded", "unknown", 3},
		{"find, silent", "POST", "/find", "", []func(net.Conn){silent}, 201, "", "", 2},
		{"find, silent and closed", "POST", "/find", "", []func(net.Conn){silent, closed}, 504, "deadline", "unknown", 2},
		{"issue, silent", "POST", "/issue", "", []func(net.Conn){silent}, 504, "deadline", "unknown", 1},
		{"path that only starts like find", "POST", "/findorissue", "", []func(net.Conn){closed}, 502, "backend-failed", "unknown", 1},
		{"get, connection closed", "GET", "/1", "", []func(net.Conn){closed}, 201, "", "", 2},
		{"path with dots", "POST", "/find/../issue", "", nil, 400, "bad-request", "not run", 0},
		{"path with escapes", "POST", "/find/%2e%2e/issue", "", nil, 400, "bad-request", "not run", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fakes{}
			var calls atomic.Int64
			s := func(_ int, conn net.Conn, _ *http.Request, _ map[string]any) {
				if n := int(calls.Add(1)); n <= len(c.answers) {
					c.answers[n-1](conn)
					return
				}
				ok(conn)
			}
			a, b := startBackend(t, s), startBackend(t, s)
			d := start(t, f, nil, []string{a.addr, b.addr})
			resp := do(t, d, c.method, "/services/tags"+c.path, "{}", "Idempotency-Key", c.key, "Shallot-Deadline", "2500")
			assert.Equal(t, resp.StatusCode, c.status)
			bills := 1
			if c.code != "" {
				bills = 0
				got, ran := code(t, resp)
				assert.Check(t, got == c.code && ran == c.ran, "%s %s", got, ran)
			} else {
				v, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(v) == `{"number":1}`, c.status == 201)
			}
			call := c.method + " " + c.path
			assert.Equal(t, a.count(call)+b.count(call), c.calls)
			assert.Equal(t, len(f.billed()), bills, "the bill is filed before the end of the answer")
			if c.key != "" { // a second request with the same key
				got, _ := code(t, do(t, d, c.method, "/services/tags"+c.path, "{}", "Idempotency-Key", c.key))
				assert.Equal(t, got, work.CodeClaimTaken)
				assert.Equal(t, a.count(call)+b.count(call), c.calls)
			}
		})
	}
}

// Guards against a call that is not repeatable being sent on a connection that was idle for long. The server may have closed
// it, and then it would be unknown whether the call ran.
func TestOldConnectionIsNotUsed(t *testing.T) {
	f := &fakes{}
	conns := make(chan net.Conn, 3)
	s := startBackend(t, func(_ int, c net.Conn, _ *http.Request, _ map[string]any) {
		conns <- c
		reply(c, 201, "{}")
	})
	d := start(t, f, nil, []string{s.addr})
	for _, wait := range []time.Duration{0, 0, 1200 * time.Millisecond} {
		time.Sleep(wait)
		resp := do(t, d, "POST", "/services/tags/issue", "{}")
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 201)
	}
	a, b, c := <-conns, <-conns, <-conns
	assert.Check(t, a == b && b != c)
}

// Guards against bodies and headers that are changed on the way, and against an API key that is passed on to a service.
func TestPassThrough(t *testing.T) {
	f := &fakes{}
	seen := make(chan *http.Request, 1)
	big := strings.Repeat("0123456789", 20000)
	s := startBackend(t, func(_ int, c net.Conn, r *http.Request, _ map[string]any) {
		seen <- r
		reply(c, 200, big)
	})
	d := start(t, f, nil, []string{s.addr})
	resp := do(t, d, "PUT", "/services/tags/7/state?by=gate", `{"state":"open"}`, "X-Gate", "4", "Shallot-Deadline", "5000", "Cookie", `a="x y";;k=%20"z"`)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Check(t, string(b) == big)
	assert.Equal(t, resp.Header.Get("Content-Type"), "application/json")
	r := <-seen
	assert.Equal(t, r.URL.String(), "/7/state?by=gate")
	assert.Equal(t, r.Header.Get("X-Gate"), "4")
	assert.Equal(t, r.Header.Get("Cookie"), `a="x y";;k=%20"z"`)
	assert.Equal(t, r.Header.Get("Content-Type"), "", "the caller sent none")
	assert.Equal(t, r.Header.Get("Authorization"), "")
	assert.Check(t, r.Header.Get("Shallot-Deadline") != "" && r.Header.Get("Shallot-Request") != "")
}

// Guards against a form that reaches the service with other bytes, because it is parsed and written again on the way.
func TestFormsArriveAsSent(t *testing.T) {
	bodies := make(chan string, 1)
	s := startBackend(t, func(_ int, c net.Conn, r *http.Request, _ map[string]any) {
		b, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		bodies <- string(b)
		reply(c, 200, "{}")
	})
	d := start(t, &fakes{}, nil, []string{s.addr})
	form := strings.ReplaceAll("preamble\n--b\nContent-Disposition: form-data; name=\"photo\"; filename=\"a.txt\"\nContent-Type: text/plain\n\npram\n"+
		"--b\nContent-Disposition: form-data; name=\"owner\"\nContent-Type: application/json\n\n{}\n--b--\n", "\n", "\r\n")
	for _, body := range []string{form, "no form"} {
		resp := do(t, d, "PUT", "/services/tags/7/state", body, "Content-Type", "multipart/form-data; boundary=b")
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, <-bodies, body)
	}
}

package entry

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

const fiveText = " t1 t2 t3 t4 t5"

// Guards against lost, repeated or reordered tokens, against an answer that ends without a bill, and against an end event that counts as
// a token.
func TestChat(t *testing.T) {
	f := &fakes{}
	d := start(t, f, []string{startBackend(t, fiveTokens).addr}, nil)

	resp := post(t, d, chatBody("m", false))
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200, string(b))
	var v struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   map[string]int
	}
	assert.NilError(t, json.Unmarshal(b, &v))
	assert.Equal(t, v.Choices[0].Message.Content, fiveText)
	assert.Equal(t, v.Usage["completion_tokens"], 5)
	assert.Equal(t, resp.Header.Get("Shallot-Model"), "m@v1")

	resp = post(t, d, chatBody("m", true))
	e := readEvents(resp)
	assert.NilError(t, e.err)
	assert.Equal(t, e.text, fiveText)
	assert.Check(t, e.done && strings.HasSuffix(e.last, ".5"))

	bills := f.billed()
	assert.Equal(t, len(bills), 2)
	assert.Equal(t, bills[1].Request, resp.Header.Get("Shallot-Request"))
	assert.Equal(t, bills[1].Stages[0].Tokens, 5)
	assert.Equal(t, bills[1].Stages[0].Prompt, 3)
	assert.Equal(t, metric(t, d, "shallot_tokens_total"), 10.0)
}

// Guards against refusals with a wrong code, and against requests that the workspace is not allowed to make.
func TestRefusals(t *testing.T) {
	f := &fakes{}
	e := startBackend(t, fiveTokens)
	d := start(t, f, []string{e.addr}, nil)
	for _, c := range []struct {
		name, body, code string
		status           int
		headers          []string
	}{
		{"key", chatBody("m", false), "key-unknown", 401, []string{"Authorization", "Bearer nobody"}},
		{"long key", chatBody("m", false), "key-unknown", 401, []string{"Authorization", "Bearer " + strings.Repeat("a", 129)}},
		{"long model name", chatBody(strings.Repeat("m", 129), false), "bad-request", 400, nil},
		{"model", chatBody("none", false), "model-unknown", 404, nil},
		{"allowed", chatBody("other", false), "not-allowed", 403, nil},
		{"rank", chatBody("m", false), "rank-not-allowed", 403, []string{"Shallot-Rank", "urgent"}},
		{"rank name", chatBody("m", false), "bad-request", 400, []string{"Shallot-Rank", "now"}},
		{"session", chatBody("m", false), "session-invalid", 400, []string{"Shallot-Session", "forged"}},
		{"resume", chatBody("m", true), "resume-invalid", 400, []string{"Last-Event-ID", "forged.3"}},
		{"deadline", chatBody("m", false), "bad-request", 400, []string{"Shallot-Deadline", "-1"}},
		{"json", `{"model":`, "bad-request", 400, nil},
		{"max_tokens", `{"model":"m","max_tokens":101,"messages":[{"role":"user","content":"a"}]}`, "too-large", 413, nil},
		{"nesting", `{"model":"m","messages":[{"role":"user","content":"a"}],"x":` + strings.Repeat("[", 16) + strings.Repeat("]", 16) + `}`, "too-large", 413, nil},
		{"messages", `{"model":"m","messages":[` + strings.Repeat(`{"role":"user","content":"a"},`, 64) + `{"role":"user","content":"a"}]}`, "too-large", 413, nil},
		{"body", strings.Repeat(" ", 1<<20+1), "too-large", 413, nil},
		{"headers", chatBody("m", false), "too-large", 431, []string{"X-Large", strings.Repeat("a", 16<<10)}},
		{"key length", chatBody("m", false), "too-large", 413, []string{"Idempotency-Key", strings.Repeat("a", 129)}},
	} {
		resp := post(t, d, c.body, c.headers...)
		assert.Equal(t, resp.Header.Get("Content-Type"), "application/problem+json", c.name)
		got, ran := code(t, resp)
		assert.Check(t, got == c.code && resp.StatusCode == c.status, "%s: %s %d", c.name, got, resp.StatusCode)
		if c.name != "resume" { // the request to be resumed may have run
			assert.Check(t, ran == "not run", c.name)
		}
	}
	assert.Equal(t, e.count(generate), 0)
	resp := do(t, d, "GET", "/v1/models", "")
	b, _ := io.ReadAll(resp.Body)
	assert.Check(t, strings.Contains(string(b), `"m@v1"`) && !strings.Contains(string(b), "other"), string(b))
}

// Guards against a request that is accepted, or never answered, while this VM cannot serve it.
func TestRefusesWhileUnableToServe(t *testing.T) {
	for _, c := range []struct {
		name, code string
		set        func(*Daemon, *fakes)
	}{
		{"no document", "no-document", func(_ *Daemon, f *fakes) { f.mu.Lock(); defer f.mu.Unlock(); f.snapshot = nil }},
		{"bills wait", "billing-full", func(_ *Daemon, f *fakes) { f.full = true }},
		{"no server", "no-server", func(_ *Daemon, f *fakes) { f.mu.Lock(); defer f.mu.Unlock(); f.servers = nil }},
		{"not current after a pause", "no-document", func(_ *Daemon, f *fakes) { f.stale.Store(true) }},
		{"halted version", "version-halted", func(_ *Daemon, f *fakes) { f.mu.Lock(); defer f.mu.Unlock(); f.halted["m@v1"] = true }},
		{"too many open requests", "overloaded", func(d *Daemon, _ *fakes) { d.openRequests.Add(int64(d.MaxRequests)) }},
		{"cut off from the platform", "stale", func(_ *Daemon, f *fakes) {
			f.change(func(x *document.Document) {
				v := &x.Models[0].Versions[0]
				v.Stale, v.Limit = document.StaleRefuse, -1
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fakes{}
			e := startBackend(t, fiveTokens)
			d := start(t, f, []string{e.addr}, nil)
			c.set(d, f)
			resp := post(t, d, chatBody("m", true))
			got, ran := code(t, resp)
			assert.Check(t, got == c.code && ran == "not run", "%s %s", got, ran)
			assert.Equal(t, e.count(generate), 0)
		})
	}
}

// Guards against a deadline that is not enforced in the queue or while the engine has not sent the first token, and against one
// that truncates an answer.
func TestDeadline(t *testing.T) {
	f := &fakes{}
	e := startBackend(t, fiveTokens)
	d := start(t, f, []string{e.addr}, nil, func(d *Daemon) { d.ServerSlots = func(string, string, int) int { return -1 } })
	begin := time.Now()
	got, ran := code(t, post(t, d, chatBody("m", false), "Shallot-Deadline", "300"))
	assert.Check(t, got == "deadline" && ran == "not run", "%s %s", got, ran)
	assert.Check(t, time.Since(begin) >= 250*time.Millisecond)

	waits := startBackend(t, func(_ int, c net.Conn, r *http.Request, _ map[string]any) {
		if r.URL.Path != "/v1/generate" {
			reply(c, 200, "{}")
			return
		}
		open(c)
		for range 100 {
			if _, err := io.WriteString(c, ": wait\n\n"); err != nil {
				return
			}
			time.Sleep((50 * clock.Millisecond).Std())
		}
	})
	f2 := &fakes{}
	d2 := start(t, f2, []string{waits.addr}, nil)
	got, ran = code(t, post(t, d2, chatBody("m", true), "Shallot-Deadline", "300"))
	assert.Check(t, got == "deadline" && ran == "unknown", "%s %s", got, ran)
	assert.Equal(t, waits.count("POST /v1/cancel"), 1)
}

package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"shallotrun/core/bill"
	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/work"
)

// fakes implements the ports of a daemon in memory.
type fakes struct {
	mu        sync.Mutex
	snapshot  *document.Snapshot
	halted    map[string]bool
	servers   map[string][]work.VM
	leaving   []string
	reported  []string // servers whose load reports came
	bills     []work.Bill
	takenOver map[string]bool
	claims    map[string]string
	full      bool
	stale     atomic.Bool
}

func (f *fakes) Current() *document.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fakes) Fresh() bool           { return !f.stale.Load() }
func (f *fakes) Staleness() clock.Span { return 0 }

func (f *fakes) Halted(m, v string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halted[m+"@"+v]
}

func (f *fakes) Servers(pool string) []work.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[pool]
}

func (f *fakes) MarkLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, name)
}

func (f *fakes) RecordLoad(name string, l work.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Leaving {
		f.leaving = append(f.leaving, name)
	}
	f.reported = append(f.reported, name)
}

func (f *fakes) SelectHolder(string) string { return "holder" }
func (f *fakes) Full() bool                 { return f.full }

func (f *fakes) Save(_ context.Context, b work.Bill, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.takenOver[b.Request] {
		return bill.ErrTakenOver
	}
	f.bills = append(f.bills, b)
	return nil
}

func (f *fakes) TakeOver(_ context.Context, request, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.bills {
		if x.Request == request {
			return bill.ErrTakeDenied
		}
	}
	return nil
}

func (f *fakes) Claim(_ context.Context, workspace, key, request string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if by, ok := f.claims[workspace+"/"+key]; ok && by != request {
		return &work.Refusal{Code: work.CodeClaimTaken, Status: 409, Ran: work.RunUnknown, Detail: "taken"}
	}
	f.claims[workspace+"/"+key] = request
	return nil
}

func (f *fakes) billed() []work.Bill {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]work.Bill(nil), f.bills...)
}

// change edits a copy of the document and puts it in force.
func (f *fakes) change(edit func(d *document.Document)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, _ := json.Marshal(f.snapshot.Document)
	d := new(document.Document)
	if err := json.Unmarshal(b, d); err != nil {
		panic(err)
	}
	edit(d)
	f.snapshot = &document.Snapshot{Revision: f.snapshot.Revision + 1, Document: d}
}

const testKey = "key-of-yard"

func testDocument() *document.Document {
	sum := sha256.Sum256([]byte(testKey))
	return &document.Document{
		Domains: []string{"a"},
		Models: []document.Model{
			{Name: "m", Versions: []document.Version{{Name: "v1", State: document.Live}}},
			{Name: "x", Versions: []document.Version{{Name: "v1", State: document.Live, Exact: true}}},
			{Name: "other", Versions: []document.Version{{Name: "v1", State: document.Live}}},
		},
		Pools:    []document.Pool{{Name: "engines", Models: []string{"m", "x", "other"}, Slots: 4}},
		Services: []document.Service{{Name: "tags", Pool: "desk", Slots: 4, Calls: []document.Call{{Method: "POST", Path: "/find", Repeat: true}}}},
		Workspaces: []document.Workspace{{Name: "yard", Keys: []string{hex.EncodeToString(sum[:])}, Allow: []string{"m", "x"},
			Services: []string{"tags"}, Rank: "normal", Weight: 1, Limit: 100, Routes: []string{"both", "label"}}},
		Routes:   []document.Route{{Name: "label", Model: "m"}},
		Cascades: []document.Cascade{{Name: "both", Stages: []string{"m", "x"}, Quality: 80, Down: "last", Wait: 200}},
	}
}

// start runs a daemon with the given engines and services until the test ends.
func start(t testing.TB, f *fakes, engines, services []string, edit ...func(*Daemon)) *Daemon {
	t.Helper()
	list := func(kind, pool string, addrs []string) (out []work.VM) {
		for i, a := range addrs {
			out = append(out, work.VM{Name: fmt.Sprint(pool, i), Addr: a, Domain: "a", Kind: kind, Pool: pool, State: work.StateLive})
		}
		return out
	}
	f.snapshot = &document.Snapshot{Revision: 1, Document: testDocument()}
	f.halted, f.takenOver, f.claims = map[string]bool{}, map[string]bool{}, map[string]string{}
	f.servers = map[string][]work.VM{"engines": list("other", "engines", engines), "desk": list(work.KindService, "desk", services)}
	d := &Daemon{Name: "e1", Domain: "a", Listen: "127.0.0.1:0", TokenKeys: [][]byte{[]byte("secret")},
		Documents: f, Servers: f, Bills: f, Claims: f, Registry: prometheus.NewRegistry(), Linger: 1}
	for _, e := range edit {
		e(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	for i := 0; i < 500 && !d.Ready(); i++ {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, d.Ready())
	return d
}

// respondFunc answers one call to a fake backend server. N is the number of the call with this method and path, counted
// from 1.
type respondFunc func(n int, c net.Conn, r *http.Request, body map[string]any)

// backend is a fake backend server that gives a test full control of each connection.
type backend struct {
	addr          string
	mu            sync.Mutex
	calls         []string // method and path
	requestBodies []map[string]any
}

// startBackend runs a fake backend server until the test ends.
func startBackend(t testing.TB, s respondFunc) *backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	b := &backend{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c, s)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, s respondFunc) {
	defer c.Close() //nolint:errcheck // a test server
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		var body map[string]any
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_ = json.Unmarshal(raw, &body)
		r.Body = io.NopCloser(bytes.NewReader(raw)) // a respondFunc may read it again
		b.mu.Lock()
		b.calls = append(b.calls, r.Method+" "+r.URL.Path)
		b.requestBodies = append(b.requestBodies, body)
		n := 0
		for _, k := range b.calls {
			if k == r.Method+" "+r.URL.Path {
				n++
			}
		}
		b.mu.Unlock()
		s(n, c, r, body)
	}
}

// count returns the number of calls with a method and path.
func (b *backend) count(call string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.calls {
		if c == call {
			n++
		}
	}
	return n
}

// bodies returns the bodies of the calls with a method and path.
func (b *backend) bodies(call string) (out []map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, c := range b.calls {
		if c == call {
			out = append(out, b.requestBodies[i])
		}
	}
	return out
}

const generate = "POST /v1/generate"

// open starts an event stream that ends with the connection.
func open(c net.Conn) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
}

func tokens(c net.Conn, from, to int) {
	for n := from; n <= to; n++ {
		fmt.Fprintf(c, "id: %d\ndata: {\"text\":\" t%d\"}\n\n", n, n)
	}
}

func end(c net.Conn, n int) {
	fmt.Fprintf(c, "event: end\ndata: {\"tokens\":%d,\"reason\":\"stop\",\"prompt\":3}\n\n", n)
	_ = c.Close()
}

func reply(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// from returns the number of the token after which a call resumes.
func from(body map[string]any) int {
	f, _ := body["from"].(float64)
	return int(f)
}

// fiveTokens answers every generation with five tokens, and other calls with an empty object.
func fiveTokens(_ int, c net.Conn, r *http.Request, body map[string]any) {
	if r.URL.Path != "/v1/generate" {
		reply(c, 200, "{}")
		return
	}
	open(c)
	tokens(c, from(body)+1, 5)
	end(c, 5)
}

// post sends a chat request. Headers are pairs of name and value.
func post(t testing.TB, d *Daemon, body string, headers ...string) *http.Response {
	t.Helper()
	return do(t, d, "POST", "/v1/chat/completions", body, headers...)
}

func do(t testing.TB, d *Daemon, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+d.Addr().String()+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := c.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":"hello"}]}`, model, stream)
}

// events is what a stream contained: its text, the last event identifier, the error event and whether it ended with [DONE].
type events struct {
	text, last, problem string
	done                bool
	err                 error
}

func readEvents(resp *http.Response) (e events) {
	s := bufio.NewScanner(resp.Body)
	kind := ""
	for s.Scan() {
		line := s.Text()
		switch data, ok := strings.CutPrefix(line, "data: "); {
		case strings.HasPrefix(line, "id: "):
			e.last = line[4:]
		case strings.HasPrefix(line, "event: "):
			kind = line[7:]
		case ok && data == "[DONE]":
			e.done = true
		case ok && kind == "error":
			e.problem = data
		case ok:
			var v struct {
				Choices []struct {
					Delta struct{ Content string }
				}
			}
			if err := json.Unmarshal([]byte(data), &v); err != nil {
				e.err = err
				return e
			}
			e.text += v.Choices[0].Delta.Content
		}
	}
	e.err = s.Err()
	return e
}

// code returns the fields code and ran of a refusal.
func code(t testing.TB, resp *http.Response) (string, string) {
	t.Helper()
	var p struct{ Code, Ran string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
	return p.Code, p.Ran
}

// metric returns the sum of a counter or gauge over its labels.
func metric(t testing.TB, d *Daemon, name string) (sum float64) {
	t.Helper()
	all, err := d.Registry.Gather()
	assert.NilError(t, err)
	for _, f := range all {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

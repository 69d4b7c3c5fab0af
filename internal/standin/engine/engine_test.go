package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
	client "shallotrun/io/engine"
)

func start(t *testing.T, e *Engine) string {
	e.Ledger = &ledger.Ledger{}
	e.Ledger.Faults.Names = Faults
	e.Models, e.QueueLimit, e.OutputRetention, e.ReportInterval, e.CacheBlocks = []string{"m@1"}, 10, clock.Minute, 10, 100
	ln, err := ledger.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	e.Run(t.Context())
	go ledger.Serve(t.Context(), ln, e.Handler)
	return ln.Addr().String()
}

func post(t *testing.T, addr, body string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return c, bufio.NewReader(c)
}

// read returns the status and the body up to its end or to the error that broke it.
func read(t *testing.T, r *bufio.Reader) (int, string, error) {
	var resp fasthttp.Response
	resp.StreamBody = true
	if err := resp.Read(r); err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.BodyStream())
	return resp.StatusCode(), string(b), err
}

func join(t *testing.T, body string) string {
	var b strings.Builder
	for _, line := range strings.Split(body, "\n") {
		if data, ok := strings.CutPrefix(line, `data: {"text":`); ok {
			var s string
			assert.NilError(t, json.Unmarshal([]byte(strings.TrimSuffix(data, "}")), &s))
			b.WriteString(s)
		}
	}
	return b.String()
}

const requestBody = `{"request":"r1","attempt":1,"model":"m","version":"1","prompt":"hello gate","from":%d}`

// Guards against a resumed stream that does not continue the first one, which the load tool would report as a fault of the
// router, and against a call that runs the request again instead of joining its generation.
func TestResume(t *testing.T) {
	e := &Engine{Slots: 2, TokenTime: time.Millisecond}
	addr := start(t, e)
	_, r := post(t, addr, fmt.Sprintf(requestBody, 0))
	_, whole, err := read(t, r)
	assert.NilError(t, err)
	assert.Equal(t, join(t, whole), Answer("m", "1", "hello gate", 0))
	assert.Check(t, strings.Contains(whole, "event: end\ndata: {\"tokens\":"))
	_, r = post(t, addr, fmt.Sprintf(requestBody, 5))
	_, rest, err := read(t, r)
	assert.NilError(t, err)
	first := ""
	for i := range 5 {
		first += TokenText("m", "1", "hello gate", i+1)
	}
	assert.Equal(t, first+join(t, rest), join(t, whole))
	es := e.Ledger.Entries(0)
	assert.Equal(t, es[0].Outcome, "run")
	assert.Equal(t, es[1].Outcome, "done")
	assert.Equal(t, es[2].Outcome, "attach")
}

// Guards against a call that joins an existing generation only, as the router's client sends it, and starts one.
func TestAttachStartsNothing(t *testing.T) {
	e := &Engine{Slots: 2, TokenTime: time.Millisecond}
	addr := start(t, e)
	b, err := json.Marshal(client.GenerateRequest{Request: "r1", Attempt: 1, Model: "m", Version: "1", Prompt: "hello gate", Attach: true})
	assert.NilError(t, err)
	_, r := post(t, addr, string(b))
	status, _, err := read(t, r)
	assert.NilError(t, err)
	assert.Equal(t, status, 404)
	assert.Equal(t, e.Ledger.Entries(0)[0].Outcome, "refused")
}

// Guards against faults that do not act as documented: checks of the router that inject them would pass without the fault.
func TestFaults(t *testing.T) {
	tests := []struct {
		fault   ledger.Fault
		status  int // 0 means that the connection breaks
		outcome string
	}{
		{ledger.Fault{Fault: "error", Value: 1.0}, 500, "failed"},
		{ledger.Fault{Fault: "refuse"}, 503, "refused"},
		{ledger.Fault{Fault: "bad", Value: "m@1"}, 500, "failed"},
		{ledger.Fault{Fault: "bad", Value: "m@2"}, 200, "run"},
		{ledger.Fault{Fault: "close"}, 0, "refused"},
		{ledger.Fault{Fault: "leaving"}, 503, "refused"},
	}
	for _, test := range tests {
		e := &Engine{Slots: 2, TokenTime: time.Millisecond}
		addr := start(t, e)
		assert.NilError(t, e.Ledger.Faults.Set(test.fault))
		_, r := post(t, addr, fmt.Sprintf(requestBody, 0))
		status, _, err := read(t, r)
		assert.Equal(t, status, test.status, "%v: %v", test.fault, err)
		assert.Equal(t, e.Ledger.Entries(0)[0].Outcome, test.outcome, "%v", test.fault)
	}
}

// Guards against a crash that ends a stream as if it were complete.
func TestBrokenStreams(t *testing.T) {
	e := &Engine{Slots: 2, TokenTime: 50 * time.Millisecond}
	addr := start(t, e)
	_, r := post(t, addr, fmt.Sprintf(requestBody, 0))
	time.AfterFunc(120*time.Millisecond, func() { e.Ledger.Faults.Set(ledger.Fault{Fault: "crash"}) })
	_, body, err := read(t, r)
	assert.Check(t, err != nil, "a crashed stream ended normally")
	assert.Check(t, !strings.Contains(body, "event: end"))
	es := e.Ledger.Entries(0)
	assert.Equal(t, es[len(es)-1].Outcome, "crashed")
}

// Guards against admission in order of arrival regardless of priority. Each request is sent only after the engine accepted the
// one before it, and the first keeps its slot until the others wait, so that the order of arrival does not depend on how fast the
// connections are served.
func TestPriority(t *testing.T) {
	e := &Engine{Slots: 1, TokenTime: time.Millisecond}
	addr := start(t, e)
	assert.NilError(t, e.Ledger.Faults.Set(ledger.Fault{Fault: "slow", Value: 200.0}))
	bodies := make([]*bufio.Reader, 0, 3)
	for i, p := range []int{0, 2, 0} {
		_, r := post(t, addr, fmt.Sprintf(`{"request":"r%d","model":"m","version":"1","prompt":"p%d","priority":%d}`, i, i, p))
		bodies = append(bodies, r)
		waitQueued(t, e, i+1)
	}
	assert.NilError(t, e.Ledger.Faults.Set(ledger.Fault{Fault: "slow", For: -1}))
	for _, r := range bodies {
		_, _, err := read(t, r)
		assert.NilError(t, err)
	}
	var order []string
	for _, x := range e.Ledger.Entries(0) {
		if x.Kind == "end" {
			order = append(order, x.Request)
		}
	}
	assert.DeepEqual(t, order, []string{"r0", "r2", "r1"})
}

// waitQueued waits until one generation runs and the others of n wait.
func waitQueued(t *testing.T, e *Engine, n int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		held := len(e.running) == 1 && len(e.waiting) == n-1
		e.mu.Unlock()
		if held {
			return
		}
	}
	t.Fatalf("the engine does not hold %d generations", n)
}

// Guards against an engine with fencing that executes an order of a former holder of the lease.
func TestFence(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		e := &Engine{Slots: 1, Fenced: fenced}
		addr := start(t, e)
		send := func(fence int, id string) int {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://" + addr + "/v1/order")
			req.Header.SetMethod("POST")
			req.SetBodyString(fmt.Sprintf(`{"fence":%d,"id":%q,"action":"load","model":"m","version":"2"}`, fence, id))
			assert.NilError(t, fasthttp.Do(&req, &resp))
			return resp.StatusCode()
		}
		assert.Equal(t, send(2, "a"), 200)
		want := map[bool]int{true: 409, false: 200}[fenced]
		assert.Equal(t, send(1, "b"), want)
		assert.Equal(t, send(2, "a"), 200)
	}
}

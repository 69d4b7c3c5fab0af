package review

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// result is the answer to a request as a client saw it.
type result struct {
	status    int
	header    http.Header
	body      string
	whole     bool // the answer arrived to its end
	err       error
	latency   time.Duration
	requestID string
}

var requestNumber atomic.Int64

// call is one attempt of a client.
type call struct {
	vm       *vm
	method   string
	path     string
	key      string
	body     string
	headers  []string
	deadline time.Duration
}

const host = "ficu95.example"

// send sends a call on a new connection and reads the whole answer.
func (w *world) send(a call) (r result) {
	r.requestID = fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1))
	began := time.Now()
	defer func() { r.latency = time.Since(began) }()
	c, err := net.DialTimeout("tcp", a.vm.front, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	if a.deadline == 0 {
		a.deadline = 5 * time.Second
	}
	_ = c.SetDeadline(began.Add(a.deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", a.method, a.path, host, r.requestID, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", a.key)
	}
	for _, h := range a.headers {
		b.WriteString(h + "\r\n")
	}
	chunked := false
	for _, h := range a.headers {
		chunked = chunked || h == "Transfer-Encoding: chunked"
	}
	if chunked {
		fmt.Fprintf(&b, "\r\n%s0\r\n\r\n", chunk(a.body))
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	}
	if _, r.err = io.WriteString(c, b.String()); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header = resp.StatusCode, resp.Header
	raw, err := io.ReadAll(resp.Body)
	r.body, r.err, r.whole = string(raw), err, err == nil
	return r
}

// String describes a result for the record.
func (r result) String() string {
	body := r.body
	if len(body) > 60 {
		body = body[:60] + "..."
	}
	return fmt.Sprintf("status %d, signature %q, whole %v, %d ms, body %q, error %v",
		r.status, r.header.Get("Replica-Signature"), r.whole, r.latency.Milliseconds(), body, r.err)
}

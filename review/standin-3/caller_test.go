package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// call is a client's request.
type call struct {
	id, method, host, target, key string
	headers                       map[string]string
	body                          []byte
	deadline                      time.Duration
}

// result is what the client got.
type result struct {
	status  int
	header  http.Header
	body    string
	whole   bool // the answer ended as complete
	err     error
	elapsed time.Duration
}

var ids atomic.Int64

// newID returns the identifier of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5e00000000000000+ids.Add(1)) }

// client sends requests to one machine on kept connections.
func client(addr string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
		},
		MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// send sends a request and reads its answer.
func send(h *http.Client, q call) (out result) {
	began := time.Now()
	defer func() { out.elapsed = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var body io.Reader
	if q.body != nil {
		body = bytes.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.host+q.target, body)
	if err != nil {
		out.err = err
		return out
	}
	r.Header.Set("Request-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("User-Agent", "")
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for k, v := range q.headers {
		r.Header.Set(k, v)
	}
	resp, err := h.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	b, err := io.ReadAll(resp.Body)
	out.status, out.header, out.body, out.err, out.whole = resp.StatusCode, resp.Header, string(b), err, err == nil
	return out
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, error %v, after %d ms", r.status, r.err, r.elapsed.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes, after %d ms", r.status, len(r.body), r.elapsed.Milliseconds())
}

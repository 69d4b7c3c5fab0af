package platform

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/io/conn"
)

// serveFixed listens on a loopback port and sends the same response to the first keep requests of each connection. It
// closes the connection after reading the next one. It counts the requests read.
func serveFixed(t *testing.T, text string, keep int) (addr string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					buf := make([]byte, req.ContentLength+1)
					_, _ = req.Body.Read(buf)
					requests.Add(1)
					if n >= keep {
						return
					}
					if _, err := conn.Write([]byte(text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

func response(status, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Guards against retries by the HTTP library. If a server closes a kept-alive connection after reading the request, a
// retry would send a conditional update twice, and the second one would report a conflict with the first.
func TestNoRequestIsRetried(t *testing.T) {
	addr, requests := serveFixed(t, response("200 OK", `{"kind":"k","name":"n","version":7}`), 1)
	c := &Client{Addr: addr}
	ctx := context.Background()
	v, err := c.Update(ctx, "k", "n", 6, []byte(`{}`))
	assert.NilError(t, err)
	assert.Equal(t, v, uint64(7))
	for _, call := range []func() error{
		func() error { _, err := c.Update(ctx, "k", "n", 7, []byte(`{}`)); return err },
		func() error { return c.Delete(ctx, "k", "n", 7) },
		func() error { _, err := c.Get(ctx, "k", "n"); return err },
	} {
		if _, err := c.Get(ctx, "k", "n"); err != nil { // leaves a kept-alive connection, or uses the broken one and fails
			continue
		}
		before := requests.Load()
		err := call()
		var u *Unavailable
		assert.Assert(t, errors.As(err, &u) && u.MaybeSent, "%v", err)
		assert.Equal(t, requests.Load()-before, int64(1))
	}
}

// Guards against mixing up failures: a conflict, a rate limit and an outage need different reactions.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	rows := []struct {
		status, body string
		check        func(error) bool
	}{
		{"404 Not Found", `{}`, func(err error) bool { return errors.Is(err, ErrNotFound) }},
		{"409 Conflict", `{"version":9}`, func(err error) bool {
			var e *Conflict
			return errors.As(err, &e) && e.Version == 9
		}},
		{"429 Too Many Requests\r\nRetry-After: 1.5", ``, func(err error) bool {
			var e *RateLimited
			return errors.As(err, &e) && e.RetryAfter == 1500
		}},
		{"500 Oops", ``, isUnavailable},
		{"000 X", `{"value":"v","version":1}`, isInvalidHead},               // fasthttp returns 200 for it
		{"200 OK\r\nX Zz: odd", `{"value":"v","version":1}`, isInvalidHead}, // fasthttp accepts the name
		{"200 OK\r\nX-Zz : odd", `{"value":"v","version":1}`, isInvalidHead},
		{"404 Not Found\r\nX Zz: odd", `{}`, isInvalidHead},
		{"409 Conflict\r\nX-Zz : odd", `{"version":9}`, isInvalidHead},
		{"429 Too Many Requests\r\nRetry-After : 1.5", ``, isInvalidHead},
		{"200 OK", `{"version":`, isUnavailable},
		{"200 OK", `{}`, isUnavailable},
		{"200 OK", `{"value":"` + strings.Repeat("x", MaxResponse) + `","version":1}`, isUnavailable},
	}
	for _, r := range rows {
		addr, _ := serveFixed(t, response(r.status, r.body), 1)
		_, err := (&Client{Addr: addr}).Get(ctx, "k", "n")
		assert.Check(t, r.check(err), "%s: %v", r.status, err)
	}
	_, err := (&Client{Addr: "127.0.0.1:1"}).Get(ctx, "k", "n")
	var u *Unavailable
	assert.Check(t, errors.As(err, &u) && !u.MaybeSent, "%v", err)
	_, err = (&Client{Addr: "127.0.0.1:1"}).Put(ctx, "k", "n", make([]byte, MaxValue+1))
	assert.ErrorContains(t, err, "at most")
}

// isInvalidHead reports whether an error names the cause for which the head of a response was rejected.
func isInvalidHead(err error) bool {
	var u *Unavailable
	return errors.As(err, &u) && u.MaybeSent && (errors.Is(err, conn.ErrStatus) || errors.Is(err, conn.ErrField))
}

// Guards against a request without a timeout to a platform that does not respond, and against a watch that delays the
// daemon's stop because it ignores the end of its context.
func TestRequestsEndAtDeadlineOrCancellation(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c := &Client{Addr: l.Addr().String(), Timeout: 50}
	_, err = c.Get(context.Background(), "k", "n")
	assert.Check(t, isUnavailable(err), "%v", err)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	done := make(chan error)
	go func() {
		_, err := c.Watch(ctx, "k", 1, clock.Hour)
		done <- err
	}()
	select {
	case err := <-done:
		assert.Check(t, isUnavailable(err), "%v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the watch did not end with its context")
	}
	assert.Equal(t, c.Calls(), uint64(2))
}

func isUnavailable(err error) bool {
	var e *Unavailable
	return errors.As(err, &e)
}

package order

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// engine listens on a loopback port and replies to the first request only. It closes the connection after reading any
// later one. It counts the requests read.
func engine(t *testing.T, status, body string) (addr string, requests *atomic.Int64) {
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
				for range 2 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = req.Body.Read(make([]byte, req.ContentLength+1))
					if requests.Add(1) > 1 {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body))
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// Guards against an order that the HTTP library retries, without a check of the lease, when the engine closes a
// kept-alive connection after reading the request.
func TestOrderIsNotRetried(t *testing.T) {
	addr, requests := engine(t, "200 OK", `{"done":true}`)
	c := &Client{}
	assert.NilError(t, c.Send(addr, Order{ID: "1"}, Timeout))
	err := c.Send(addr, Order{ID: "2"}, Timeout)
	assert.Assert(t, err != nil)
	assert.Equal(t, requests.Load(), int64(2))
	_, err = c.Report(addr)
	assert.Assert(t, err != nil)
	assert.Equal(t, requests.Load(), int64(3))
}

// Guards against mixing up a refused order, a failed order and a lost reply, and against reading a reply of unlimited
// size into memory.
func TestReplies(t *testing.T) {
	rows := []struct {
		status, body string
		check        func(error) bool
	}{
		{"200 OK", `{"done":true}`, func(err error) bool { return err == nil }},
		{"200 OK", `{"done":false,"code":"weights"}`, isNotExecuted},
		{"409 Conflict", `{"code":"fence","ran":false}`, func(err error) bool { return errors.Is(err, ErrStaleToken) }},
		{"400 Bad", `{"code":"bad-request"}`, isNotExecuted},
		{"500 Oops", `{}`, isOutcomeUnknown},
		{"000 X", `{"done":true}`, isOutcomeUnknown},               // fasthttp returns 200 for it
		{"200 OK\r\nX Zz: odd", `{"done":true}`, isOutcomeUnknown}, // fasthttp accepts the name
		{"200 OK\r\nX-Zz : odd", `{"done":false,"code":"weights"}`, isOutcomeUnknown},
		{"409 Conflict\r\nX Zz: odd", `{"code":"fence","ran":false}`, isOutcomeUnknown},
		{"103 Early Hints\r\nX Zz: odd\r\n\r\nHTTP/1.1 200 OK", `{"done":true}`, isOutcomeUnknown},
		{"200 OK", `{"done`, isOutcomeUnknown},
		{"200 OK", `{"done":true,"x":"` + strings.Repeat("x", maxReply) + `"}`, isOutcomeUnknown},
	}
	for _, r := range rows {
		addr, _ := engine(t, r.status, r.body)
		err := new(Client).Send(addr, Order{ID: "1"}, clock.Second)
		assert.Check(t, r.check(err), "%s %.40s: %v", r.status, r.body, err)
	}
}

func isNotExecuted(err error) bool {
	var f *NotExecuted
	return errors.As(err, &f)
}

func isOutcomeUnknown(err error) bool {
	return err != nil && !isNotExecuted(err) && !errors.Is(err, ErrStaleToken)
}

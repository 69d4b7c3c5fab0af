package conn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// server answers request n, counted from 1, on one listener; it counts requests and connections.
func server(t *testing.T, answer func(n int64, c net.Conn)) (addr string, calls, conns *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	calls, conns = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					answer(calls.Add(1), c)
				}
			}()
		}
	}()
	return ln.Addr().String(), calls, conns
}

func call(p *Pool, addr, method string, o Options) (string, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/x")
	req.Header.SetMethod(method)
	r, err := p.Call(addr, req, o)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(r.Body)
	r.Close(err == nil)
	return string(b), Cause(err)
}

// Guards against a call that is sent twice when a server closes a reused connection after reading the request: fasthttp's
// client would retry it.
func TestCallIsNotRetried(t *testing.T) {
	addr, calls, conns := server(t, func(n int64, c net.Conn) {
		if n == 2 {
			_ = c.Close()
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	for _, method := range []string{"GET", "POST"} {
		p := &Pool{}
		calls.Store(0)
		conns.Store(0)
		b, err := call(p, addr, method, Options{})
		assert.NilError(t, err)
		assert.Equal(t, b, "ok")
		_, err = call(p, addr, method, Options{})
		var e *Error
		assert.Check(t, errors.As(err, &e) && e.Sent, "%v", err)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, calls.Load(), int64(2), method)
		assert.Equal(t, conns.Load(), int64(1), method)
	}
}

// Guards against a failure that is reported as sent although nothing was, and against answers that stall or whose headers
// exceed the limit.
func TestFailures(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := ln.Addr().String()
	assert.NilError(t, ln.Close())
	for _, c := range []struct {
		name, answer string
		sent         bool
		cause        error
	}{
		{"refused connection", "", false, nil},
		{"silent", "wait", true, ErrTimeout},
		{"stalled body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true, ErrTimeout},
		{"headers over the limit", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 5000) + "\r\n\r\n", true, ErrHeaders},
	} {
		addr := closed
		if c.answer != "" {
			addr, _, _ = server(t, func(_ int64, conn net.Conn) {
				if c.answer != "wait" {
					fmt.Fprint(conn, c.answer)
				}
			})
		}
		_, err := call(&Pool{}, addr, "POST", Options{ProgressTimeout: 100})
		var e *Error
		if errors.As(err, &e) {
			assert.Equal(t, e.Sent, c.sent, c.name)
		}
		assert.Check(t, err != nil && (c.cause == nil || errors.Is(err, c.cause)), "%s: %v", c.name, err)
	}
}

// Guards against a deadline that covers a whole response, which would cut long streams, and against the reuse of connections
// that were idle for more than a second.
func TestProgressTimeoutAndMaxIdleTime(t *testing.T) {
	addr, _, conns := server(t, func(_ int64, c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		for range 5 {
			time.Sleep(60 * time.Millisecond)
			fmt.Fprint(c, "a")
		}
	})
	p := &Pool{Clock: clock.NewManual(1000)}
	for _, wait := range []clock.Span{0, 1000, 1001} {
		p.Clock.Advance(wait)
		b, err := call(p, addr, "GET", Options{ProgressTimeout: 200})
		assert.NilError(t, err)
		assert.Equal(t, b, "aaaaa")
	}
	assert.Equal(t, conns.Load(), int64(2))
}

// Guards against idle connections to servers that are gone, which hold a descriptor each for good, as no request comes to their address
// again; and against an end of those that are used.
func TestIdleConnectionsEndWithoutARequest(t *testing.T) {
	const maxIdle = 400 * clock.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var opened, ended atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer ended.Add(1)
				br := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	p := &Pool{MaxIdleTime: maxIdle}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			_, err := call(p, ln.Addr().String(), "GET", Options{})
			assert.Check(t, err == nil, "%v", err)
		})
	}
	wg.Wait()
	many := opened.Load()
	assert.Check(t, many > 1, "%d", many)
	for range 8 { // one of the connections is used all the while
		time.Sleep(maxIdle.Std() / 4)
		_, err := call(p, ln.Addr().String(), "GET", Options{})
		assert.NilError(t, err)
	}
	for end := time.Now().Add(10 * time.Second); ended.Load() < many; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d of %d connections are open", many-ended.Load(), many)
	}
}

package conn

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against malformed answers that block a call, yield a body beyond its length, or leave a connection in the pool with
// bytes that belong to no request.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort", "\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { _ = ln.Close() })
	answers := make(chan []byte, 1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write(<-answers)
			_ = c.(*net.TCPConn).CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, c); _ = c.Close() }()
		}
	}()
	f.Fuzz(func(t *testing.T, in []byte) {
		answers <- in
		p := &Pool{}
		defer p.Close()
		var req fasthttp.Request
		req.SetRequestURI("/")
		req.Header.SetHost("x")
		begun := time.Now()
		resp, err := p.Call(ln.Addr().String(), &req, Options{ProgressTimeout: clock.Second, NewConn: true})
		if err == nil && resp.Body != nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			assert.Check(t, len(b) <= len(in))
			if n := resp.Header.ContentLength(); err == nil && n >= 0 {
				assert.Equal(t, len(b), n)
			}
			assert.Check(t, strings.Contains(string(in), string(b)) || resp.Header.ContentLength() == -1, "the body has bytes that the server did not send")
		}
		if resp != nil {
			resp.Close(err == nil)
		}
		assert.Check(t, time.Since(begun) < 20*time.Second)
	})
}

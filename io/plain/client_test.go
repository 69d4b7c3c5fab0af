package plain

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/io/conn"
)

// Guards against an answer of a plain service with a malformed name of a field that is passed on, and against such a refusal that is believed
// to say that nothing ran.
func TestMalformedField(t *testing.T) {
	for _, c := range []struct{ status, field, body string }{
		{"200 OK", "X Zz: odd", "ok"},
		{"200 OK", "X-Zz : odd", "ok"},
		{"500 X", "X Zz: odd", "failed"},
		{"503 X", "X-Zz : odd", `{"code":"full","ran":false}`},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			if conn, err := ln.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", c.status, c.field, len(c.body), c.body)
			}
		}()
		p := &Client{Pool: &conn.Pool{}}
		_, err = p.Do(ln.Addr().String(), &Call{Method: "GET", URI: "/", Request: "r", Left: clock.Second})
		assert.ErrorIs(t, err, conn.ErrField, "%v", c)
		p.Pool.Close()
		_ = ln.Close()
	}
}

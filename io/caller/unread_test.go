package caller

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// endless is a stream without an end that counts what was read of it.
type endless struct{ bytes atomic.Int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.bytes.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a caller that reads nothing, for which the system holds megabytes of a stream in the memory of the VM.
func TestUnreadStreamIsHeldBack(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	body := &endless{}
	s := &Server{Listener: ln, Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyStream(body, -1) }}
	go func() { _ = s.Run(t.Context()) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer c.Close() //nolint:errcheck // a caller's connection
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	last := int64(-1)
	for n := body.bytes.Load(); n != last || n == 0; n = body.bytes.Load() {
		last = n
		time.Sleep(300 * time.Millisecond)
	}
	t.Logf("%d bytes are held", last)
	assert.Check(t, last < 4*sendBuffer, "%d bytes are held", last)
}

package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/internal/follow"
	"shallotrun/internal/settings"
	"shallotrun/internal/standin/loopback"
)

// Guards against a bound on evacuations that is exceeded behind a silent upstream, as the settings name no other bound or a longer one.
func TestApplyWithin(t *testing.T) {
	for _, c := range []struct{ apply, evacuate, want clock.Span }{
		{0, 0, follow.DefaultApply},
		{3000, 0, 3000},
		{3000, 5000, 3000},
		{3000, 1000, 1000},
		{0, 1000, 1000},
		{0, 5000, follow.DefaultApply},
	} {
		assert.Equal(t, applyWithin(&settings.Front{Apply: c.apply, Evacuate: c.evacuate}), c.want, "%+v", c)
	}
}

// Guards against probes that go without closing their connections to the ports for readiness and metrics, each of which holds a descriptor
// until the process has none left.
func TestPortsCloseIdleConnections(t *testing.T) {
	t.Parallel()
	p := port{addr: loopback.Addr(), handle: func(ctx *fasthttp.RequestCtx) { _, _ = ctx.WriteString("ok") }, idle: time.Second}
	assert.NilError(t, p.serve(t.Context(), zerolog.Nop()))
	for _, used := range []bool{true, false} {
		c, err := net.Dial("tcp", p.addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		r := bufio.NewReader(c)
		if used {
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			assert.NilError(t, err)
			a, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, a.Body)
			assert.NilError(t, err)
		}
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*portReadTimeout)))
		_, err = io.Copy(io.Discard, r)
		assert.NilError(t, err, "open, used %v", used)
	}
}

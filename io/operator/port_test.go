package operator

import (
	"context"
	"net"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a form or a status that fills the memory, and against a stop that waits for idle
// connections.
func TestPort(t *testing.T) {
	s, m := console()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	addr := l.Addr().String()
	client := &fasthttp.HostClient{Addr: addr}
	post := func(size int) int {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + addr + "/preview")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/x-www-form-urlencoded")
		editor.set(req)
		form := url.Values{"csrf": {s.token(s.Persons[0], s.period())}, "text": {strings.Repeat("x", size)}}
		req.SetBodyString(form.Encode())
		if err := client.DoTimeout(req, resp, 20*time.Second); err != nil {
			return 0 // the server closed the connection while the form was still being sent
		}
		return resp.StatusCode()
	}
	assert.Equal(t, post(1000), 200)
	status := post(maxForm + 1)
	assert.Check(t, status == fasthttp.StatusRequestEntityTooLarge || status == 0, "%d", status)

	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	st, err := Fetch(ctx, addr, viewer)
	assert.NilError(t, err)
	assert.Equal(t, st.VM, "e1")
	_, err = Fetch(ctx, addr, Login{"vid", "wrong"})
	assert.ErrorContains(t, err, "not known")
	m.status.Reason = strings.Repeat("x", maxStatus)
	_, err = Fetch(ctx, addr, viewer)
	assert.ErrorContains(t, err, "body size exceeds")
	assert.NilError(t, s.Shutdown(ctx))
	assert.NilError(t, <-done)
}

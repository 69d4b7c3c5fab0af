package operator

import (
	"context"
	"io"
	"net"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against reading a form or a status of unlimited size into memory, and against a shutdown that waits for idle
// connections.
func TestSizeLimitsAndShutdown(t *testing.T) {
	s, m := newConsole()
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
		editor.setAuthorization(req)
		form := url.Values{"csrf": {s.formToken(s.Persons[0], s.formTokenPeriod())}, "text": {strings.Repeat("x", size)}}
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

// Guards against a summary that shows a failure domain as up to date while one of its VMs lags, that includes VMs that
// left the fleet, or that prefers an old heartbeat to the VM's own status.
func TestMergeStatuses(t *testing.T) {
	at := func(revision uint64, since clock.Time) Config { return Config{Revision: revision, Since: since} }
	one := Status{VM: "a1", Domain: "a", Ready: true, At: 50_000, Config: at(7, 20_000), Peers: []Peer{
		{VM: "a2", Domain: "a", Config: at(7, 21_000), LastHeartbeat: 49_000},
		{VM: "a3", Domain: "a", State: StateGone, Config: at(3, 1000), LastHeartbeat: 30_000},
		{VM: "b1", Domain: "b", Config: at(6, 5000), LastHeartbeat: 49_500},
		{VM: "b2", Domain: "b", Config: at(5, 4000), LastHeartbeat: 10_000},
	}, Halts: []Halt{{Model: "m", Version: "2"}}}
	two := Status{VM: "b2", Domain: "b", Ready: true, At: 50_000, Config: at(7, 19_000), Refused: &Refused{Revision: 8},
		Peers: []Peer{{VM: "b1", Domain: "b", Config: at(5, 4000), LastHeartbeat: 1000}}, Halts: one.Halts}
	f := MergeStatuses([]Status{one, two}, 50_000)
	assert.Equal(t, len(f.Domains), 2)
	a, b := f.Domains[0], f.Domains[1]
	assert.DeepEqual(t, f.Newest, at(7, 19_000)) // b2 was the first VM with this revision
	assert.DeepEqual(t, a.Config, at(7, 21_000)) // the time from which every VM of the domain had this revision
	assert.Check(t, a.Lagging == 0 && len(a.VMs) == 3)
	assert.DeepEqual(t, b.Config, at(6, 5000))
	assert.Check(t, b.Lagging == 1 && b.VMs[0].Lagging && !b.VMs[1].Lagging && f.Lagging())
	assert.Check(t, len(f.Halts) == 1 && f.Refused.Revision == 8)
	f = MergeStatuses([]Status{one, two}, 26_000)
	assert.Check(t, !f.Lagging(), "a document may take 8 s")
}

// Guards against a status page that is taken from an answer with an invalid head: fasthttp returns 200 for the status 000, and accepts names
// of fields with blanks.
func TestFetchWithInvalidHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 11\r\n", "HTTP/1.1 200 OK\r\nX Zz: odd\r\nContent-Length: 11\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 11\r\n",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, head+"\r\n{\"VM\":\"e1\"}")
		}()
		_, err = Fetch(t.Context(), ln.Addr().String(), Login{})
		assert.Check(t, err != nil, head)
		_ = ln.Close()
	}
}

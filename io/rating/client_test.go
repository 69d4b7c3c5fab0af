package rating

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/io/conn"
)

// rate requests one rating from a service.
func rate(t *testing.T, answer http.HandlerFunc, wait clock.Span) (int, error) {
	srv := httptest.NewServer(answer)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	c := &Client{Addr: strings.TrimPrefix(srv.URL, "http://"), Pool: &conn.Pool{}}
	return c.Rate(&Request{Request: "r1"}, wait)
}

// Guards against a process that ends at an answer without a body, and against answers that are taken for ratings though they are none.
func TestRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   int // -1 for an error
	}{
		{"a rating", 200, `{"rating":70}`, 70},
		{"the lowest rating", 200, `{"rating":0}`, 0},
		{"above the highest rating", 200, `{"rating":101}`, -1},
		{"no rating", 200, `{}`, -1},
		{"no JSON", 200, `70`, -1},
		{"an empty body", 200, ``, -1},
		{"no body", 204, ``, -1},
		{"not modified", 304, ``, -1},
		{"refused", 503, `{"rating":70}`, -1},
	} {
		got, err := rate(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}, 1000)
		assert.Check(t, (err != nil) == (c.want < 0) && (err != nil || got == c.want), "%s: %d %v", c.name, got, err)
	}
}

// Guards against a service that sends a byte now and then and holds the call for ever.
func TestRateEndsInTime(t *testing.T) {
	begun := time.Now()
	_, err := rate(t, func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if !assert.Check(t, err == nil) {
			return
		}
		defer func() { _ = c.(*net.TCPConn).Close() }()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n")
		for range 60 {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}, 300)
	assert.Check(t, err != nil)
	assert.Check(t, time.Since(begun) < 1500*time.Millisecond, "the call took %v", time.Since(begun))
}

// Guards against a rating from an answer with a malformed name of a field.
func TestRateWithMalformedField(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close() //nolint:errcheck // a test's listener
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX Zz: odd\r\nContent-Length: 13\r\n\r\n{\"rating\":70}"))
		}
	}()
	c := &Client{Addr: ln.Addr().String(), Pool: &conn.Pool{}}
	_, err = c.Rate(&Request{Request: "r1"}, 1000)
	assert.ErrorIs(t, err, conn.ErrField)
}

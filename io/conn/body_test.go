package conn

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a body in chunks that counts as whole though its end is malformed or missing, wherever its bytes are cut, and against a sound
// one that fails.
func TestChunkedBody(t *testing.T) {
	const head = okLine + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		rest string
		want string // "" if the body must fail
	}{
		{"2\r\nok\r\n0\r\n\r\n", "ok"},
		{"1;x=y\r\no\r\n1\r\nk\r\n000\r\nX-A: b\r\n c\r\nX-B:\r\n\r\n", "ok"},
		{"2\r\nok\r\n0\r\nX A: b\r\n\r\n", ""},
		{"2\r\nok\r\n0\r\nX-A : b\r\n\r\n", ""},
		{"2\r\nok\r\n0\r\nX-A: b\r\nX\x00B: c\r\n\r\n", ""},
		{"2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n", ""},
		{"2\r\nok\r\n0\r\nX-A: b\r\n", ""},
		{"2\r\nok\r\n0\r\n", ""},
		{"2\r\nok\r\n", ""},
		{"2\r\nokk\r\n0\r\n\r\n", ""},
		{"x\r\nok\r\n0\r\n\r\n", ""},
	} {
		for cut := range len(c.rest) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				peer, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = peer.Read(make([]byte, 4096))
				_, _ = io.WriteString(peer, head+c.rest[:cut])
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(peer, c.rest[cut:])
				_ = peer.Close()
			}()
			p := &Pool{}
			resp, err := callGet(p, ln.Addr().String(), nil)
			assert.NilError(t, err)
			b, err := io.ReadAll(resp.Body)
			assert.Equal(t, err == nil, c.want != "", "%q cut at %d: %v", c.rest, cut, err)
			assert.Check(t, err != nil || string(b) == c.want, "%q cut at %d: %q", c.rest, cut, b)
			_, again := resp.Body.Read(make([]byte, 1))
			assert.Check(t, again != nil)
			resp.Close(err == nil)
			p.Close()
			_ = ln.Close()
		}
	}
}

// Guards against the last event of a stream that is held back until the end of its body arrives.
func TestLastChunkDoesNotWaitForTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close() //nolint:errcheck // a test's listener
	read := make(chan struct{})
	go func() {
		peer, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = peer.Read(make([]byte, 4096))
		_, _ = io.WriteString(peer, okLine+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n")
		<-read
		_, _ = io.WriteString(peer, "\r\n")
	}()
	p := &Pool{}
	defer p.Close()
	resp, err := callGet(p, ln.Addr().String(), nil)
	assert.NilError(t, err)
	b := make([]byte, 10)
	n, err := resp.Body.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b[:n]), "ok")
	close(read)
	_, err = resp.Body.Read(b)
	assert.Equal(t, err, io.EOF)
	resp.Close(true)
}

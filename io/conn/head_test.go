package conn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

const (
	earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	okLine     = "HTTP/1.1 200 OK\r\n"
)

// headCases are responses, and the error with which their heads are rejected, nil for a sound one.
var headCases = []struct {
	text string
	want error
}{
	{okLine + "Content-Length: 20\r\n\r\nHTTP/1.1 000 X\r\n\r\nok", nil},
	{earlyHints + okLine + "\r\nHTTP/1.1 000 X\r\n", nil},
	{"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", ErrStatus},
	{"\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", ErrStatus},
	{earlyHints + earlyHints + "HTTP/1.1 000 X\r\n\r\n", ErrStatus},
	{"HTTP/1.1 600 X\n\n", ErrStatus},
	{"HTTP/1.1 099 X\n\n", ErrStatus},

	{okLine + "X-A : b\r\nContent-Length: 2\r\n\r\nok", ErrField},
	{okLine + "X A: b\r\nContent-Length: 2\r\n\r\nok", ErrField},
	{okLine + "Content-Length: 2\r\nX A:\r\n\r\nok", ErrField},
	{okLine + "Content-Length : 2\r\n\r\nok", ErrField},
	{okLine + "X-A\t: b\r\n\r\n", ErrField},
	{okLine + "X\x00A: b\r\n\r\n", ErrField},
	{okLine + "X\x7fA: b\r\n\r\n", ErrField},
	{okLine + "X\rA: b\r\n\r\n", ErrField},
	{okLine + "X\x80A: b\r\n\r\n", ErrField},
	{okLine + "X(A): b\r\n\r\n", ErrField},
	{okLine + ": b\r\n\r\n", ErrField},
	{okLine + "no colon\r\n\r\n", ErrField},
	{okLine + "X-A: b\r\n c\r\nX B: c\r\n\r\n", ErrField},
	{okLine + "X A: b\r\n c\r\n\r\n", ErrField},
	{okLine + "X A: b\n\n", ErrField},
	{earlyHints + "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + okLine + "\r\n", ErrField},
	{"HTTP/1.1 500 X\r\nX A: b\r\n\r\n", ErrField},
	{okLine + "X-A: b\r\nX-B:\r\nX-C:c : d\r\nContent-Length: 6\r\n\r\nX A: b", nil},
	{okLine + "!#$%&'*+-.^_`|~09azAZ: b\r\n\r\nX A: b\r\n", nil},
	{okLine + "X-A: b\r\n X B: c\r\n\tX C: d\r\n\r\n", nil},
	{okLine + "\r\nX A: b\r\n\r\n", nil},
}

// Guards against an invalid status, or a malformed name of a field, that a connection of fasthttp's client lets through, wherever the bytes
// are cut, and against an error for a sound head or for bytes behind it.
func TestCheckHeads(t *testing.T) {
	for _, c := range headCases {
		for cut := range len(c.text) {
			client, server := net.Pipe()
			checked := CheckHeads(client)
			go func() {
				_, _ = io.WriteString(server, okLine+"\r\n")
				_, _ = io.CopyN(io.Discard, server, 1)
				_, _ = io.WriteString(server, c.text[:cut])
				_, _ = io.WriteString(server, c.text[cut:])
				_ = server.Close()
			}()
			_, err := io.CopyN(io.Discard, checked, int64(len(okLine+"\r\n")))
			assert.NilError(t, err)
			_, err = io.WriteString(checked, "x")
			assert.NilError(t, err)
			got, err := io.ReadAll(checked)
			assert.Equal(t, err, c.want, "%q cut at %d", c.text, cut)
			assert.Check(t, c.want != nil || string(got) == c.text, "%q cut at %d: %q", c.text, cut, got)
			assert.Check(t, strings.HasPrefix(c.text, string(got)))
			_ = client.Close()
		}
	}
}

// serveTexts accepts a connection and sends the texts in the same order, each after a byte of a request has arrived. It returns the address.
func serveTexts(t testing.TB, texts ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close() //nolint:errcheck // the fake's side of the connection
		for _, text := range texts {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, text)
		}
		_, _ = io.Copy(io.Discard, c)
	}()
	return ln.Addr().String()
}

// callGet makes a GET call and returns the error of the call.
func callGet(p *Pool, addr string, matches func(*fasthttp.ResponseHeader, bool) bool) (*Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/")
	req.Header.SetHost("x")
	return p.Call(addr, req, Options{ProgressTimeout: 5 * clock.Second, Matches: matches})
}

// Guards against an invalid head that a call takes for an answer, wherever it stands: behind many sound fields, behind a late answer that was
// read together with it, or on a connection that is used again.
func TestCallRejectsInvalidHeads(t *testing.T) {
	second := okLine + "X-Second: 1\r\nX A: b\r\nContent-Length: 2\r\n\r\nok"
	late := okLine + "Content-Length: 4\r\n\r\nlate"
	isSecond := func(h *fasthttp.ResponseHeader, _ bool) bool { return len(h.Peek("X-Second")) > 0 }
	for _, c := range []struct {
		name  string
		texts []string
	}{
		{"first line", []string{second}},
		{"behind 6 KB of fields", []string{okLine + strings.Repeat("X-Sound: "+strings.Repeat("a", 54)+"\r\n", 96) + second[len(okLine):]}},
		{"behind a late answer", []string{late + second}},
		{"on a used connection", []string{late, second}},
	} {
		p := &Pool{ReadBuffer: 8 << 10}
		addr := serveTexts(t, c.texts...)
		for range len(c.texts) - 1 {
			resp, err := callGet(p, addr, nil)
			assert.NilError(t, err, c.name)
			_, err = io.ReadAll(resp.Body)
			resp.Close(err == nil)
			assert.NilError(t, err, c.name)
		}
		_, err := callGet(p, addr, isSecond)
		assert.ErrorIs(t, err, ErrField, c.name)
		p.Close()
	}
}

// textConn is a connection whose peer sends a text and then closes its side.
type textConn struct {
	net.Conn
	r io.Reader
}

func (c *textConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// namesAreValid reports what net/http finds in the heads of a response and of those that announce it: whether each name of a field is a
// token, and whether all of them could be read.
func namesAreValid(text string) (valid, read bool) {
	r := bufio.NewReader(strings.NewReader(text))
	for range 100 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			// net/http has this error for values too, and fasthttp rejects those as well.
			return !strings.Contains(err.Error(), "malformed MIME header"), false
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				return false, true
			}
		}
		if resp.StatusCode >= 200 || resp.StatusCode == 101 {
			return true, true
		}
	}
	return true, false
}

// Guards against a head that passes although the standard library finds a malformed name in it, and against a sound one that is rejected for
// its names.
func FuzzHead(f *testing.F) {
	for _, c := range headCases {
		f.Add(c.text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		resp.SkipBody = true
		c := CheckHeads(&textConn{r: strings.NewReader(text)})
		err := resp.Read(bufio.NewReader(c))
		valid, read := namesAreValid(text)
		assert.Check(t, err != nil || valid, "%q passed", text)
		rejected := c.(*checkedConn).head.err
		assert.Check(t, rejected != ErrField || !valid || !read, "%q was rejected", text) //nolint:errorlint // it is not wrapped
	})
}

// Measures what a call costs, with an answer that has a length and one in chunks.
func BenchmarkCall(b *testing.B) {
	fields := strings.Repeat("X-Field: some value\r\n", 8)
	for _, c := range []struct{ name, text string }{
		{"length", okLine + fields + "Content-Length: 2\r\n\r\nok"},
		{"chunks", okLine + fields + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("14\r\nid: 1\ndata: piece 1\n\r\n", 20) + "0\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			defer ln.Close() //nolint:errcheck // a test's listener
			go func() {
				c2, err := ln.Accept()
				for buf := make([]byte, 4096); err == nil; {
					if _, err = c2.Read(buf); err == nil {
						_, err = fmt.Fprint(c2, c.text)
					}
				}
			}()
			p := &Pool{}
			defer p.Close()
			b.ReportAllocs()
			for b.Loop() {
				resp, err := callGet(p, ln.Addr().String(), nil)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				resp.Close(true)
			}
		})
	}
}

package conn

import (
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an invalid status that a connection of fasthttp's client lets through, wherever the bytes are cut, and against an error for
// bytes that are no status line.
func TestCheckStatus(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, c := range []struct {
		text string
		want error
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 X\r\n\r\nok", nil},
		{early + "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 X\r\n", nil},
		{"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", ErrStatus},
		{"\r\nHTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", ErrStatus},
		{early + early + "HTTP/1.1 000 X\r\n\r\n", ErrStatus},
		{"HTTP/1.1 600 X\n\n", ErrStatus},
		{"HTTP/1.1 099 X\n\n", ErrStatus},
	} {
		for cut := range len(c.text) {
			client, server := net.Pipe()
			checked := CheckStatus(client)
			go func() {
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\n")
				_, _ = io.CopyN(io.Discard, server, 1)
				_, _ = io.WriteString(server, c.text[:cut])
				_, _ = io.WriteString(server, c.text[cut:])
				_ = server.Close()
			}()
			_, err := io.CopyN(io.Discard, checked, int64(len("HTTP/1.1 200 OK\r\n\r\n")))
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

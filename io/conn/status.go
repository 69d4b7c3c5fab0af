package conn

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Bounds of valid statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// maxInterim is how many responses that only announce the answer, for example 103 Early Hints, a call skips.
const maxInterim = 100

// skipInterim reads the responses that only announce the answer, up to that. It fails with ErrStatus if the status of one of them, or of the
// answer, is invalid. fasthttp accepts any three digits and returns 200 for 000.
func skipInterim(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim {
		status, err := peekStatus(br)
		switch {
		case err != nil:
			return err
		case status < minStatus || status > maxStatus:
			return ErrStatus
		case status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols:
			return nil
		}
		if err := h.Read(br); err != nil {
			return err
		}
	}
	return ErrMismatch
}

// peekStatus returns the status of the response that comes next, without consuming it. For a line that is not a status
// line it returns a valid status, as fasthttp rejects the line. Errors of the connection are returned, because a socket reports them once.
func peekStatus(br *bufio.Reader) (int, error) {
	for n := 1; ; n = br.Buffered() + 1 {
		_, err := br.Peek(n)
		if errors.Is(err, bufio.ErrBufferFull) {
			return 0, ErrHeaders
		}
		if err != nil {
			return 0, err
		}
		b, _ := br.Peek(br.Buffered()) // it can't fail: that many bytes are there
		for line := range bytes.Lines(b) {
			if line[len(line)-1] != '\n' {
				break
			}
			if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
				return parseStatus(line), nil
			}
		}
	}
}

// parseStatus returns the number in a status line, and 200 for a line that has none.
func parseStatus(line []byte) int {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	number, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if n, err := strconv.Atoi(string(number)); err == nil {
		return n
	}
	return fasthttp.StatusOK
}

// CheckStatus returns a connection for an HTTP client of a library, whose reads fail with ErrStatus when the status of a response is invalid.
// The client sends one request at a time.
func CheckStatus(c net.Conn) net.Conn { return &checkedConn{Conn: c} }

// checkedConn looks at the status lines that are read.
type checkedConn struct {
	net.Conn
	passed  bool   // the rest of the response isn't looked at
	interim bool   // the header of a response is read that only announces the answer
	line    []byte // beginning of the present line
}

// Write begins the next request.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.passed, c.interim, c.line = false, false, nil
	return c.Conn.Write(p)
}

// Read fails instead of returning the bytes that complete a status line with an invalid status.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for part := range bytes.Lines(p[:n]) {
		if c.passed {
			break
		}
		c.line = append(c.line, part...)
		if part[len(part)-1] != '\n' {
			c.passed = len(c.line) > maxStatusLine // the client fails
			break
		}
		line := bytes.TrimRight(c.line, "\r\n")
		c.line = nil
		if !c.checkLine(line) {
			return 0, ErrStatus
		}
	}
	return n, err
}

// maxStatusLine is how much of a line is kept, in bytes.
const maxStatusLine = 4096

// checkLine takes note of a line of a header. It returns false for a status line with an invalid status.
func (c *checkedConn) checkLine(line []byte) bool {
	switch {
	case c.interim:
		c.interim = len(line) > 0
	case len(line) > 0:
		status := parseStatus(line)
		if status < minStatus || status > maxStatus {
			return false
		}
		c.interim = status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
		c.passed = !c.interim
	}
	return true
}

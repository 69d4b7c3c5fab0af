package conn

import (
	"bytes"
	"cmp"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// Bounds of valid statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// headCheck checks the head of an answer, and of the responses that only announce it, in the bytes that arrive. It rejects what fasthttp
// accepts and changes: fasthttp returns the status 200 for 000, and takes a field's name that holds a blank as it is, or without the blank if
// that is the last character. The zero value is ready for use.
type headCheck struct {
	inFields bool   // the status line has arrived
	interim  bool   // the present head only announces the answer, for example 103 Early Hints
	done     bool   // the answer's head has arrived whole
	partial  []byte // beginning of a line whose end has not arrived; the buffer of the reader behind the check bounds a head
	err      error  // why a head was rejected
}

// add checks the next bytes, which may go on behind the head. It returns how many of them the reader may have: those before the end of an
// invalid line, for which err is then ErrStatus or ErrField.
func (h *headCheck) add(b []byte) int {
	if h.err != nil {
		return 0
	}
	for rest := b; len(rest) > 0 && !h.done; {
		line, after, whole := bytes.Cut(rest, []byte("\n"))
		end := len(b) - len(rest) + len(line)
		rest = after
		if !whole {
			h.partial = append(h.partial, line...)
			break
		}
		if len(h.partial) > 0 {
			line = append(h.partial, line...)
			h.partial = nil
		}
		if h.err = h.addLine(bytes.TrimSuffix(line, []byte("\r"))); h.err != nil {
			return end
		}
	}
	return len(b)
}

// addLine checks a line, without its end.
func (h *headCheck) addLine(line []byte) error {
	switch {
	case !h.inFields && len(line) == 0: // fasthttp skips empty lines before a status line
	case !h.inFields:
		status := parseStatus(line)
		if status < minStatus || status > maxStatus {
			return ErrStatus
		}
		h.inFields, h.interim = true, status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
	case len(line) == 0:
		h.inFields, h.done = false, !h.interim
	case !isFieldLine(line):
		return ErrField
	}
	return nil
}

// parseStatus returns the number in a status line, and 200 for a line that has none, as fasthttp rejects that.
func parseStatus(line []byte) int {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	number, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if n, err := strconv.Atoi(string(number)); err == nil {
		return n
	}
	return fasthttp.StatusOK
}

// isFieldLine reports whether a line that is not empty begins with a field's name and a colon (RFC 9112, section 5), or continues the line
// before it.
func isFieldLine(line []byte) bool {
	if line[0] == ' ' || line[0] == '\t' {
		return true // fasthttp rejects a first line that begins so
	}
	for i, c := range line {
		if !tokenBytes[c] {
			return c == ':' && i > 0
		}
	}
	return false
}

// ValidFields reports whether each line of the fields of a head begins with a valid name and a colon, or continues the line before it.
func ValidFields(raw []byte) bool {
	check := headCheck{inFields: true}
	check.add(raw)
	return check.err == nil
}

// tokenBytes has the bytes of which the name of a field consists.
var tokenBytes = func() (out [256]bool) {
	for c := range out {
		out[c] = httpguts.IsTokenRune(rune(c))
	}
	return out
}()

// CheckHeads returns a connection for an HTTP client of a library. Its reads fail with ErrStatus or ErrField when the head of a response is
// invalid. The client sends one request at a time.
func CheckHeads(c net.Conn) net.Conn { return &checkedConn{Conn: c} }

// checkedConn checks the heads that are read.
type checkedConn struct {
	net.Conn
	head headCheck
}

// Write begins the next request.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.head = headCheck{}
	return c.Conn.Write(p)
}

// Read fails instead of returning the end of an invalid line. It returns the beginning, because fasthttp reports each error that comes before
// the first byte of a response as the end of the connection.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	n = c.head.add(p[:n])
	return n, cmp.Or(c.head.err, err)
}

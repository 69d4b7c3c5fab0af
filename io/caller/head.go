package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
)

// Errors of heads.
var (
	errLargeHead   = errors.New("the head exceeds its limit")
	errHeadMemory  = errors.New("no memory is free for the head")
	errHeadNotKept = errors.New("the beginning of a large head was not kept")

	errMalformedField = errors.New("a header field is malformed")
)

const (
	// headCopies is how often a large head is held while its request is open: as it arrived, in two buffers while those grow, parsed, and
	// in the fields that are sent on.
	headCopies = 5
	// headStep is the number of bytes by which a large head arrives.
	headStep = 4 << 10
)

// headScanner finds the end of a request's head in the bytes that arrive.
type headScanner struct {
	size    int  // bytes of the head so far, with the empty lines before it
	started bool // a byte of the request line has arrived
	text    bool // the present line has one
	done    bool
}

// add scans the next bytes, which may go on behind the head.
func (h *headScanner) add(b []byte) {
	for len(b) > 0 && !h.done {
		line, _, whole := bytes.Cut(b, []byte{'\n'})
		if len(bytes.TrimRight(line, "\r")) > 0 {
			h.text, h.started = true, true
		}
		n := len(line)
		if whole {
			n++
			h.done = h.started && !h.text // an empty line before the request line is no end
			h.text = false
		}
		h.size += n
		b = b[n:]
	}
}

// headSize returns the size of a head that has arrived, in bytes.
func headSize(h *fasthttp.RequestHeader) int {
	const separators = len("  \r\n")
	return len(h.Method()) + len(h.RequestURI()) + len(h.Protocol()) + separators + len(h.RawHeaders())
}

// exceedsBuffer reports whether a request could not be read only because its head exceeds the read buffer, and not the limit.
func (s *Server) exceedsBuffer(c *connection, err error) bool {
	var small *fasthttp.ErrSmallBuffer
	trailer := c.head.done && c.head.size > 0
	return errors.As(err, &small) && !trailer && c.head.size < s.headLimit() && s.readBuffer() < s.headLimit()
}

// serveLargeHead receives the rest of a request whose head exceeds the read buffer, and serves it. Memory for the head is reserved as it
// arrives. fasthttp closes the connection after the answer.
func (s *Server) serveLargeHead(ctx *fasthttp.RequestCtx, c *connection) error {
	if len(c.kept) != c.head.size || c.head.size == 0 {
		return errHeadNotKept // it arrived before the limit was raised, or with the request before
	}
	memory := s.bodies.newHead()
	ctx.SetUserValue(headKey{}, memory)
	for b := make([]byte, headStep); !c.head.done; {
		if !memory.extend(headCopies * int64(len(c.kept)+headStep)) {
			return errHeadMemory
		}
		if _, err := c.Read(b); err != nil {
			return err
		}
	}
	r := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(c.kept), c), len(c.kept))
	c.kept = nil
	ctx.Request.Reset()
	if err := ctx.Request.Header.Read(r); err != nil {
		return err
	}
	cfg := s.bodies.admit(&ctx.Request.Header)
	if ctx.Request.MayContinue() {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := ctx.Request.ContinueReadBody(r, cfg.MaxRequestBodySize, false); err != nil {
		return err
	}
	s.handle(ctx)
	ctx.Response.SkipBody = ctx.IsHead()
	return nil
}

// restoreID sets the identifier in the header of a request whose head could not be read whole, if it is in the part that was kept.
func (s *Server) restoreID(ctx *fasthttp.RequestCtx, c *connection) {
	if s.IDHeader == "" {
		return
	}
	for line := range bytes.Lines(c.kept) {
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(name), s.IDHeader) {
			ctx.Request.Header.SetBytesV(s.IDHeader, bytes.TrimSpace(value))
			return
		}
	}
}

// headKey is the key of the user value that releases the memory of a head.
type headKey struct{}

// headMemory is the memory that is reserved for a large head until its request ends. It is a user value, so fasthttp closes it.
type headMemory struct {
	memory   *bodyMemory
	reserved reservation
}

// newHead returns the memory of a head, of which nothing is reserved yet.
func (m *bodyMemory) newHead() *headMemory { return &headMemory{memory: m} }

// extend reserves memory up to a number of bytes. It returns false if no more is free.
func (h *headMemory) extend(to int64) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.memory.reserve(&h.reserved, max(to-h.reserved.bytes, 0), 0)
}

// Close releases the memory.
func (h *headMemory) Close() error {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.free += h.reserved.bytes
	h.reserved.bytes = 0
	return nil
}

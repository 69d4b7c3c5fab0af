package conn

import (
	"cmp"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// Values of fasthttp's ContentLength for a body without a length.
const (
	chunked    = -1
	untilClose = -2 // the body ends with its connection
)

// body reads the answer's body. Each byte that it delivers resets the link's count of bytes outside the body.
type body struct {
	io.Reader
	link       *link
	endUnknown bool // the end of the connection does not show that the body is whole
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.link.nonBodyBytes = 0
	}
	if b.endUnknown && errors.Is(err, io.EOF) {
		err = ErrUnknownEnd
	}
	return n, err
}

// bodyReader returns a reader of the body of a response whose header was read, nil if it has none.
func (l *link) bodyReader(resp *fasthttp.Response) io.Reader {
	stream := resp.BodyStream()
	if stream != nil && resp.Header.ContentLength() == chunked {
		return &chunkedBody{chunks: httputil.NewChunkedReader(l.br), link: l, header: &resp.Header}
	}
	return stream
}

// chunkedBody reads a body in chunks and its trailer. fasthttp's own reader accepts malformed names of fields in the trailer.
type chunkedBody struct {
	chunks io.Reader
	link   *link
	header *fasthttp.ResponseHeader
	err    error // of the trailer, io.EOF for a sound one
}

// Read returns the last bytes of the body without waiting for the trailer.
func (c *chunkedBody) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		return n, nil // the reader returns the end again
	}
	c.err = c.readTrailer()
	return 0, c.err
}

// readTrailer reads the trailer and the end of the body. It returns io.EOF if they are sound.
func (c *chunkedBody) readTrailer() error {
	c.link.head = headCheck{inFields: true}
	if err := c.link.checkBuffered(); err != nil {
		return err
	}
	err := c.header.ReadTrailer(c.link.br)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return cmp.Or(c.link.head.err, err, io.EOF)
}

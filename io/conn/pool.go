package conn

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
)

// Causes of a failed call, wrapped in an [Error].
var (
	// ErrTimeout means that a read or write made no progress within its timeout.
	ErrTimeout = errors.New("no progress in time")
	// ErrHeaders means that the response's headers exceed the read buffer.
	ErrHeaders = errors.New("response headers too large")
	// ErrMismatch means that only answers to other requests were received.
	ErrMismatch = errors.New("the answer belongs to another request")
	// ErrExcessBytes means that the server sent more than the permitted number of bytes outside the answer's body.
	ErrExcessBytes = errors.New("too many bytes that are no part of the answer")
	// ErrStatus means that a response has a status outside 100 to 599.
	ErrStatus = errors.New("the response has an invalid status")
	// ErrField means that a line in the head or trailer of a response does not begin with a valid name of a field and a colon.
	ErrField = errors.New("the response has a malformed header field")
	// ErrUnknownEnd means that an answer without a length ended on a connection that had failed while the request was written.
	ErrUnknownEnd = errors.New("the connection failed while the request was written, so the end of the answer is not known")
	// ErrAborted means that the call was ended by its Abort.
	ErrAborted = errors.New("call aborted")
)

// Error describes a failed call.
type Error struct {
	Addr string
	Sent bool // a byte of the request may have reached the server
	Err  error
}

// Pool makes calls and keeps idle connections by address. Set the exported fields before the first Call. Its methods are safe
// for concurrent use.
type Pool struct {
	Clock          clock.Clock
	ConnectTimeout clock.Span // timeout for opening a connection, 0 means 300 ms
	MaxIdleTime    clock.Span // longest idle time of a connection that is reused, 0 means 1 s
	MaxIdle        int        // most idle connections per address, 0 means 32
	SourceIP       string     // local IP address of the connections, "" for any
	ReadBuffer     int        // bytes of a read buffer, which bounds the response's headers; 0 means 4096

	mu       sync.Mutex
	idle     map[string][]*link // by address, the longest idle one first
	sweeping bool               // a call of sweep is scheduled
}

// Options sets the timeouts and other properties of one call.
type Options struct {
	ProgressTimeout clock.Span // timeout of each read and write, 0 means 400 ms; a read may take up to 1/16 longer
	HeaderTimeout   clock.Span // timeout of each read before the response's header is complete, 0 means ProgressTimeout
	NewConn         bool       // use a new connection
	Abort           *Abort     // ends the call from another goroutine, nil for none
	// Matches reports whether a response belongs to the request; nil accepts every response. A response that does not belong is
	// the late answer to an earlier request on the connection, which reused tells that there may be: it is discarded and the next
	// one is read.
	Matches func(h *fasthttp.ResponseHeader, reused bool) bool
}

// Response is a response whose body may still be read. Close must be called.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	Body   io.Reader // reads fail with ErrTimeout on a timeout; nil if the response has no body

	pool  *Pool
	link  *link
	resp  *fasthttp.Response
	abort *Abort
	body  body
}

// Error returns the address and the text of the cause.
func (e *Error) Error() string { return e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call sends the request at most once and reads the header of the response. Errors are an *Error.
func (p *Pool) Call(addr string, req *fasthttp.Request, o Options) (*Response, error) {
	l, err := p.get(addr, o.NewConn)
	if err != nil {
		return nil, &Error{Addr: addr, Err: Cause(err)}
	}
	if !o.Abort.bind(l.conn) {
		_ = l.conn.Close()
		return nil, &Error{Addr: addr, Err: ErrAborted}
	}
	l.timeout = orDefault(o.ProgressTimeout, 400).Std()
	if err := l.send(req); err != nil && !l.answered() {
		sent := l.written > 0
		_ = l.conn.Close()
		return nil, &Error{Addr: addr, Sent: sent, Err: Cause(err)}
	} else if err != nil {
		l.answeredEarly, l.failed = true, consumedReset(err)
	}
	resp := fasthttp.AcquireResponse()
	resp.Header.SetNoDefaultContentType(true) // a media type that the server did not name is not passed on as its own
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	progress := l.timeout
	if o.HeaderTimeout > 0 {
		l.timeout = o.HeaderTimeout.Std()
	}
	err = p.receive(l, resp, o.Matches)
	l.timeout = progress
	if err != nil {
		_ = l.conn.Close()
		fasthttp.ReleaseResponse(resp)
		return nil, &Error{Addr: addr, Sent: true, Err: Cause(err)}
	}
	out := &Response{Status: resp.StatusCode(), Header: &resp.Header, pool: p, link: l, resp: resp, abort: o.Abort}
	if r := l.bodyReader(resp); r != nil {
		out.body = body{r, l, l.failed && resp.Header.ContentLength() == untilClose}
		out.Body = &out.body
	}
	return out, nil
}

// consumedReset reports whether a failed write may have taken the error that shows that the connection was reset. A socket reports it once,
// to the call that comes first; the reads after that see an ordinary end. EPIPE is no such error: the system reports it if the server had
// closed its side before the reset, so its answer has an end.
func consumedReset(err error) bool {
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}

// maxMismatches is how many late answers to earlier requests are discarded before a call fails.
const maxMismatches = 2

// receive reads the header of the response that belongs to the request. A response with an invalid head fails as soon as the invalid line
// has arrived.
func (p *Pool) receive(l *link, resp *fasthttp.Response, matches func(h *fasthttp.ResponseHeader, reused bool) bool) error {
	for range maxMismatches + 1 {
		if err := l.beginHead(p); err != nil {
			return err
		}
		if err := resp.ReadLimitBody(l.reader(p), 0); err != nil {
			return cmp.Or(l.head.err, err)
		}
		interim := resp.StatusCode() < fasthttp.StatusOK // 101, which no request asks for
		if !interim && (matches == nil || matches(&resp.Header, l.reused)) {
			return nil
		}
		if body := l.bodyReader(resp); body != nil {
			if _, err := io.Copy(io.Discard, body); err != nil {
				return err
			}
		}
		if resp.Header.ConnectionClose() {
			break
		}
		if err := resp.CloseBodyStream(); err != nil {
			return err
		}
	}
	return ErrMismatch
}

// SetProgressTimeout changes the timeout of each further read.
func (r *Response) SetProgressTimeout(s clock.Span) { r.link.timeout = s.Std() }

// Buffered returns the number of bytes that can be read without blocking.
func (r *Response) Buffered() int { return r.link.br.Buffered() }

// Close releases the response. The connection is kept for reuse only if complete is set, which means that the body was read to
// its end, and nothing else prevents it; otherwise it is closed.
func (r *Response) Close(complete bool) {
	keep := complete && !r.Header.ConnectionClose() && r.link.br.Buffered() == 0 && !r.link.answeredEarly && r.abort.release()
	r.link.serverTimeout = keepAliveTimeout(r.Header.Peek("Keep-Alive"))
	_ = r.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(r.resp)
	r.resp, r.Body = nil, nil
	if !keep || !r.pool.put(r.link) {
		_ = r.link.conn.Close()
		r.link.release()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ls := range p.idle {
		for _, l := range ls {
			_ = l.conn.Close()
		}
	}
	p.idle = nil
}

// link is one connection.
type link struct {
	conn          net.Conn
	addr          string
	br            *bufio.Reader
	timeout       time.Duration
	readDeadline  time.Time // read deadline that is set on conn
	lastUsed      clock.Time
	serverTimeout clock.Span // the server's idle timeout less closeMargin, 0 if it announces none
	written       int64      // bytes of the current request that were sent
	reused        bool       // an earlier request was sent on the connection
	answeredEarly bool       // the server answered before it had read the whole request
	failed        bool       // the connection failed meanwhile, which reads do not show
	head          headCheck  // checks the head or trailer that is read
	nonBodyBytes  int        // bytes read since the request was sent or, if later, since the last byte of the body was delivered
}

// maxNonBodyBytes bounds the bytes that a server may send without any byte of the answer's body: headers, late answers to
// earlier requests, the framing of chunks. Without the bound a server that sends such bytes endlessly would keep a CPU of the
// VM busy.
const maxNonBodyBytes = 1 << 20

// get returns a usable idle connection, or opens a new one.
func (p *Pool) get(addr string, newConn bool) (*link, error) {
	now := p.Clock.Now()
	if l := p.reuse(addr, now, newConn); l != nil {
		return l, nil
	}
	c, err := p.dial(addr)
	if err != nil {
		return nil, err
	}
	return &link{conn: c, addr: addr}, nil
}

// dial opens a new connection.
func (p *Pool) dial(addr string) (net.Conn, error) {
	d := Dialer(p.SourceIP)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxUnansweredProbes}
	d.Control = setUnackedTimeout
	d.Timeout = orDefault(p.ConnectTimeout, 300).Std()
	return d.Dial("tcp", addr)
}

// Refuses reports whether an address refuses new connections, which it does when no process listens there. It is false for an
// address that cannot be reached.
func (p *Pool) Refuses(addr string) bool {
	c, err := p.dial(addr)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reuse returns the most recently used idle connection that is still usable, nil for none. On the way it closes connections
// that were idle for too long, that the server closed, or that hold bytes which no request asked for.
func (p *Pool) reuse(addr string, now clock.Time, newConn bool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	ls := p.idle[addr]
	if newConn {
		return nil
	}
	for len(ls) > 0 {
		l := ls[len(ls)-1]
		ls = ls[:len(ls)-1]
		p.idle[addr] = ls
		idle := now.Sub(l.lastUsed)
		if idle <= p.maxIdleTime() && (l.serverTimeout == 0 || idle < l.serverTimeout) && Peek(l.conn) == Open {
			return l
		}
		_ = l.conn.Close()
	}
	delete(p.idle, addr)
	return nil
}

// keepAliveTimeout returns the server's idle timeout from its Keep-Alive header less closeMargin, at least 1 ms; 0 if the header
// has no timeout.
func keepAliveTimeout(header []byte) clock.Span {
	_, after, ok := bytes.Cut(header, []byte("timeout="))
	if !ok {
		return 0
	}
	digits, _, _ := bytes.Cut(after, []byte(","))
	n, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
	if err != nil || n < 0 {
		return 0
	}
	return max(clock.Span(n)*clock.Second-closeMargin, 1)
}

// closeMargin is how long before the server's announced idle timeout a connection is no longer reused, because the server's
// close may already be on its way.
const closeMargin = 500 * clock.Millisecond

// put keeps a connection for reuse. If the address has MaxIdle idle connections, the one that was idle longest is closed.
func (p *Pool) put(l *link) bool {
	l.lastUsed, l.reused = p.Clock.Now(), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*link)
	}
	limit := p.MaxIdle
	if limit == 0 {
		limit = 32
	}
	ls := p.idle[l.addr]
	if len(ls) >= limit {
		_ = ls[0].conn.Close()
		copy(ls, ls[1:])
		ls = ls[:len(ls)-1]
	}
	p.idle[l.addr] = append(ls, l)
	p.sweepLater()
	return true
}

func (p *Pool) maxIdleTime() clock.Span { return orDefault(p.MaxIdleTime, clock.Second) }

// sweepLater schedules a call of sweep, unless one is scheduled or no connection is idle. mu is held.
func (p *Pool) sweepLater() {
	if !p.sweeping && len(p.idle) > 0 {
		p.sweeping = true
		time.AfterFunc(p.maxIdleTime().Std(), p.sweep)
	}
}

// sweep closes the connections that have been idle for too long to be reused. No request may come again to the address of a server that is
// gone, and each of its connections would hold a descriptor for good.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for addr, ls := range p.idle {
		n := 0
		for n < len(ls) && now.Sub(ls[n].lastUsed) > p.maxIdleTime() {
			_ = ls[n].conn.Close()
			n++
		}
		p.idle[addr] = slices.Delete(ls, 0, n)
		if n == len(ls) {
			delete(p.idle, addr)
		}
	}
	p.sweeping = false
	p.sweepLater()
}

func (l *link) send(req *fasthttp.Request) error {
	l.written, l.nonBodyBytes = 0, 0
	_, err := req.WriteTo(l)
	return err
}

// answered reports whether the server sent an answer although it did not read the whole request.
func (l *link) answered() bool { return l.written > 0 && Peek(l.conn) == Readable }

func (l *link) reader(p *Pool) *bufio.Reader {
	if l.br == nil {
		size := p.ReadBuffer
		if size == 0 {
			size = 4096
		}
		l.br = bufio.NewReaderSize((*linkReader)(l), size)
	}
	return l.br
}

// beginHead waits for the first byte of a response, and checks the part of its head that has been read already. fasthttp would report each
// error of the connection that comes first as its end.
func (l *link) beginHead(p *Pool) error {
	l.head = headCheck{}
	br := l.reader(p)
	if br.Buffered() == 0 {
		_, err := br.Peek(1)
		return cmp.Or(l.head.err, err)
	}
	return l.checkBuffered()
}

// checkBuffered checks the part of a head or trailer that was read together with what comes before it.
func (l *link) checkBuffered() error {
	b, _ := l.br.Peek(l.br.Buffered()) // it can't fail: that many bytes are there
	l.head.add(b)
	return l.head.err
}

func (l *link) release() { l.br = nil }

// Write writes to the connection with a progress deadline.
func (l *link) Write(b []byte) (int, error) {
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.timeout)); err != nil {
		return 0, err
	}
	n, err := l.conn.Write(b)
	l.written += int64(n)
	return n, err
}

// linkReader is the reading side of a link. Each read has a progress deadline.
type linkReader link

// Read extends the deadline only when less than the progress timeout is left, and then by 1/16 more than the timeout:
// setting the deadline for each token would cost a tenth of the time that a token takes.
func (l *linkReader) Read(b []byte) (int, error) {
	if l.nonBodyBytes > maxNonBodyBytes {
		return 0, ErrExcessBytes
	}
	now := time.Now()
	slack := l.timeout / 16
	if left := l.readDeadline.Sub(now); left < l.timeout || left > l.timeout+slack {
		l.readDeadline = now.Add(l.timeout + slack)
		if err := l.conn.SetReadDeadline(l.readDeadline); err != nil {
			return 0, err
		}
	}
	n, err := l.conn.Read(b)
	l.nonBodyBytes += n
	n = l.head.add(b[:n])
	return n, cmp.Or(l.head.err, err)
}

// Cause returns ErrTimeout for a timeout, ErrHeaders for a header that does not fit into the buffer, and other errors as they
// are.
func Cause(err error) error {
	// fasthttp's own timeout error has the method Timeout but does not implement net.Error.
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrTimeout
	}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return ErrHeaders
	}
	return err
}

func orDefault(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

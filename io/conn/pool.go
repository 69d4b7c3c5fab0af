package conn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
)

// Errors of a call. They are wrapped in an [Error].
var (
	// ErrSilent means that a read or write made no progress in time.
	ErrSilent = errors.New("no progress in time")
	// ErrHeaders means that the response's headers exceed the limit.
	ErrHeaders = errors.New("response headers too large")
	// ErrForeign means that only answers to other requests came.
	ErrForeign = errors.New("the answer belongs to another request")
	// ErrEndless means that the server went on sending bytes that are no part of the answer's body.
	ErrEndless = errors.New("too many bytes that are no part of the answer")
	// ErrAborted means that the call was ended by its Abort.
	ErrAborted = errors.New("call aborted")
)

// Error is a failed call.
type Error struct {
	Addr string
	Sent bool // a byte of the request may have reached the server
	Err  error
}

// Pool keeps idle connections by address. The fields are set before the first Call.
type Pool struct {
	Clock   clock.Clock
	Connect clock.Span // time to open a connection, 0 means 300 ms
	Age     clock.Span // oldest use of an idle connection that is used again, 0 means 1 s
	Idle    int        // idle connections for each address, 0 means 32
	Source  string     // IP address that connections leave from, "" for any
	Buffer  int        // size of a read buffer, and so of the largest header, 0 means 4096

	mu   sync.Mutex
	idle map[string][]*link
}

// Options bound one call.
type Options struct {
	Progress clock.Span // time for each read and write, 0 means 400 ms; a read gets up to a sixteenth more
	First    clock.Span // time until the response's header, 0 means Progress
	Fresh    bool       // use a new connection
	Abort    *Abort     // ends the call from another goroutine, nil for none
	// Mine reports whether a response belongs to the request, nil for all. A response that does not is the late
	// answer to an earlier request on the connection: it is dropped and the next one is read.
	Mine func(*fasthttp.ResponseHeader) bool
}

// Response is an open response. It is closed by Close.
type Response struct {
	Status int
	Header *fasthttp.ResponseHeader
	Body   io.Reader // reads time out with ErrSilent; nil if the response has no body

	pool  *Pool
	link  *link
	resp  *fasthttp.Response
	abort *Abort
	body  body
}

// body reads the body of the answer to the request. Its bytes are what the caller waits for.
type body struct {
	io.Reader
	link *link
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.link.idle = 0
	}
	return n, err
}

// Error describes the failure.
func (e *Error) Error() string { return e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call sends the request once and reads the header of the response.
func (p *Pool) Call(addr string, req *fasthttp.Request, o Options) (*Response, error) {
	l, err := p.take(addr, o.Fresh)
	if err != nil {
		return nil, &Error{Addr: addr, Err: Cause(err)}
	}
	if !o.Abort.bind(l.conn) {
		_ = l.conn.Close()
		return nil, &Error{Addr: addr, Err: ErrAborted}
	}
	l.progress = span(o.Progress, 400).Std()
	if err := l.send(req); err != nil && !l.answered() {
		sent := l.written > 0
		_ = l.conn.Close()
		return nil, &Error{Addr: addr, Sent: sent, Err: Cause(err)}
	} else if err != nil {
		l.spoilt = true
	}
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	first := l.progress
	if o.First > 0 {
		l.progress = o.First.Std()
	}
	err = p.receive(l, resp, o.Mine)
	l.progress = first
	if err != nil {
		_ = l.conn.Close()
		fasthttp.ReleaseResponse(resp)
		return nil, &Error{Addr: addr, Sent: true, Err: Cause(err)}
	}
	out := &Response{Status: resp.StatusCode(), Header: &resp.Header, pool: p, link: l, resp: resp, abort: o.Abort}
	if r := resp.BodyStream(); r != nil {
		out.body = body{r, l}
		out.Body = &out.body
	}
	return out, nil
}

// maxForeign is how many late answers to earlier requests are dropped before a call fails.
const maxForeign = 2

// receive reads the header of the response that belongs to the request.
func (p *Pool) receive(l *link, resp *fasthttp.Response, mine func(*fasthttp.ResponseHeader) bool) error {
	for range maxForeign + 1 {
		if err := resp.ReadLimitBody(l.reader(p), 0); err != nil {
			return err
		}
		if mine == nil || mine(&resp.Header) {
			return nil
		}
		if body := resp.BodyStream(); body != nil {
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
	return ErrForeign
}

// Progress changes the time that each read may take.
func (r *Response) Progress(s clock.Span) { r.link.progress = s.Std() }

// Buffered returns the number of bytes that can be read without waiting.
func (r *Response) Buffered() int { return r.link.br.Buffered() }

// Close ends the use of the response. Whole says that the body was read to its end: the connection may then
// be used again, otherwise it is closed.
func (r *Response) Close(whole bool) {
	keep := whole && !r.Header.ConnectionClose() && r.link.br.Buffered() == 0 && !r.link.spoilt && r.abort.release()
	r.link.keep = keepAlive(r.Header.Peek("Keep-Alive"))
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
	conn     net.Conn
	addr     string
	br       *bufio.Reader
	progress time.Duration
	until    time.Time // read deadline in force
	used     clock.Time
	keep     clock.Span // the server's own limit of idle time, 0 if it names none
	written  int64      // bytes of the current request
	spoilt   bool       // the server answered before it had read the request
	idle     int        // bytes read since the request was sent or the last byte of its answer's body, whichever came later
}

// maxIdleBytes bounds what a server may send without a byte of the answer's body: heads, late answers to earlier requests,
// the framing of chunks. Without it a server that sends such bytes without end would use up the VM's processor.
const maxIdleBytes = 1 << 20

func (p *Pool) take(addr string, fresh bool) (*link, error) {
	now := p.Clock.Now()
	if l := p.reuse(addr, now, fresh); l != nil {
		return l, nil
	}
	d := Dialer(p.Source)
	d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probes}
	d.Control = unackedTimeout
	d.Timeout = span(p.Connect, 300).Std()
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &link{conn: c, addr: addr}, nil
}

// reuse returns the idle connection that was used last and is still good, nil for none. Connections that are too old,
// closed by the server or hold bytes that no request asked for are closed.
func (p *Pool) reuse(addr string, now clock.Time, fresh bool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	ls := p.idle[addr]
	if fresh {
		return nil
	}
	for len(ls) > 0 {
		l := ls[len(ls)-1]
		ls = ls[:len(ls)-1]
		p.idle[addr] = ls
		idle := now.Sub(l.used)
		if idle <= span(p.Age, 1000) && (l.keep == 0 || idle < l.keep) && Look(l.conn) == Quiet {
			return l
		}
		_ = l.conn.Close()
	}
	delete(p.idle, addr)
	return nil
}

// keepAlive returns how long the server keeps an idle connection, less the time in which its close may be under way, 0 if
// it does not say.
func keepAlive(header []byte) clock.Span {
	_, after, ok := bytes.Cut(header, []byte("timeout="))
	if !ok {
		return 0
	}
	digits, _, _ := bytes.Cut(after, []byte(","))
	n, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
	if err != nil || n < 0 {
		return 0
	}
	return max(clock.Span(n)*clock.Second-closeSpan, 1)
}

// closeSpan is how long before the announced end of an idle connection it is no longer used.
const closeSpan = 500 * clock.Millisecond

func (p *Pool) put(l *link) bool {
	l.used = p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*link)
	}
	limit := p.Idle
	if limit == 0 {
		limit = 32
	}
	ls := p.idle[l.addr]
	if len(ls) >= limit { // the oldest makes room
		_ = ls[0].conn.Close()
		copy(ls, ls[1:])
		ls = ls[:len(ls)-1]
	}
	p.idle[l.addr] = append(ls, l)
	return true
}

func (l *link) send(req *fasthttp.Request) error {
	l.written, l.idle = 0, 0
	_, err := req.WriteTo(l)
	return err
}

// answered reports whether the server answered although it did not take the whole request.
func (l *link) answered() bool { return l.written > 0 && Look(l.conn) == Unread }

func (l *link) reader(p *Pool) *bufio.Reader {
	if l.br == nil {
		size := p.Buffer
		if size == 0 {
			size = 4096
		}
		l.br = bufio.NewReaderSize((*reads)(l), size)
	}
	return l.br
}

func (l *link) release() { l.br = nil }

// Write sends with a progress deadline.
func (l *link) Write(b []byte) (int, error) {
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.progress)); err != nil {
		return 0, err
	}
	n, err := l.conn.Write(b)
	l.written += int64(n)
	return n, err
}

// reads is the reading side of a link: each read has its own deadline.
type reads link

// Read moves the deadline only when less than the progress time is left, and then a little further than that:
// setting it for every token costs a tenth of the time that a token takes.
func (l *reads) Read(b []byte) (int, error) {
	if l.idle > maxIdleBytes {
		return 0, ErrEndless
	}
	now := time.Now()
	slack := l.progress / 16
	if left := l.until.Sub(now); left < l.progress || left > l.progress+slack {
		l.until = now.Add(l.progress + slack)
		if err := l.conn.SetReadDeadline(l.until); err != nil {
			return 0, err
		}
	}
	n, err := l.conn.Read(b)
	l.idle += n
	return n, err
}

// Cause replaces a timeout by ErrSilent and a header that does not fit the buffer by ErrHeaders.
func Cause(err error) error {
	// fasthttp's own timeout error has Timeout but is no net.Error.
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return ErrSilent
	}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		return ErrHeaders
	}
	return err
}

func span(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

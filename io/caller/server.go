package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Input limits.
const (
	BodyLimit     = 1 << 20  // bytes of a request body
	HeaderLimit   = 16 << 10 // bytes of request line and headers
	MessageLimit  = 64       // messages of a chat
	NestingLimit  = 16       // levels of JSON
	KeyLimit      = 128      // bytes of an API key or an Idempotency-Key
	ParallelLimit = 64 << 10 // open connections
)

// Server accepts callers' connections. The fields are set before Run.
type Server struct {
	Listener net.Listener
	Handler  fasthttp.RequestHandler
	Progress clock.Span // time in which a caller must read something, 0 means 10 s; up to a sixteenth more
	Arrive   clock.Span // time in which a request must arrive whole, 0 means 30 s
	Idle     clock.Span // time that a connection may stay idle, 0 means 60 s
	Linger   clock.Span // time in which new connections are still answered after the end of the context, 0 means 200 ms
	Grace    clock.Span // time after the end of the context in which open responses may end, 0 means any
	Body     int        // largest body in bytes, 0 means BodyLimit
	Header   int        // largest request line and headers in bytes, 0 means HeaderLimit
	// Failed answers a request that could not be read, nil means problem details.
	Failed func(*fasthttp.RequestCtx, *work.Refusal)
	Log    zerolog.Logger
}

// Run serves until the context ends, then shuts down gracefully: it accepts no new connections, closes idle
// ones and returns when every response is finished, however long that takes. For a moment it still accepts, so
// that the handler can refuse: closing the listener resets the connections that wait to be accepted.
func (s *Server) Run(ctx context.Context) error {
	srv := &fasthttp.Server{
		Handler:               s.Handler,
		ErrorHandler:          s.failed,
		MaxRequestBodySize:    whole(s.Body, BodyLimit),
		ReadBufferSize:        whole(s.Header, HeaderLimit),
		Concurrency:           ParallelLimit,
		ReadTimeout:           or(s.Arrive, 30*clock.Second).Std(),
		IdleTimeout:           or(s.Idle, 60*clock.Second).Std(),
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                quiet{&s.Log},
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(&listener{s.Listener, or(s.Progress, 10*clock.Second).Std()}) }()
	select {
	case err := <-done:
		return oops.Wrapf(err, "caller server")
	case <-ctx.Done():
	}
	time.Sleep(or(s.Linger, 200*clock.Millisecond).Std())
	end, cancel := context.WithCancel(context.Background())
	if s.Grace > 0 {
		end, cancel = context.WithTimeout(context.Background(), s.Grace.Std())
	}
	defer cancel()
	if err := srv.ShutdownWithContext(end); err != nil {
		return oops.Wrapf(err, "caller server shutdown")
	}
	return oops.Wrapf(<-done, "caller server")
}

// failed answers a request that could not be read. Nothing of it ran.
func (s *Server) failed(ctx *fasthttp.RequestCtx, err error) {
	r := &work.Refusal{Code: work.CodeBadRequest, Status: fasthttp.StatusBadRequest, Ran: work.NotRun, Detail: "the request could not be read"}
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &small):
		r.Code, r.Status, r.Detail = work.CodeTooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Code, r.Status, r.Detail = work.CodeTooLarge, fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &timeout) && timeout.Timeout():
		r.Status, r.Detail = fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	}
	if s.Failed != nil {
		s.Failed(ctx, r)
	} else {
		Problem(ctx, r, "")
	}
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*progressConn); ok {
		c.linger = true
	}
}

// listener gives every connection a progress deadline for its writes.
type listener struct {
	net.Listener
	progress time.Duration
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: c, progress: l.progress}, nil
}

// progressConn fails a write when the caller reads nothing for the progress time. The server's own write
// timeout is not used because it covers a whole response and would cut long streams.
type progressConn struct {
	net.Conn
	progress time.Duration
	until    time.Time // write deadline in force
	linger   bool      // the rest of a request that was refused early may still arrive
}

// Bounds on what is read after a request was refused before its end.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 4 << 20
)

// Close reads for a moment what the caller still sends after an early refusal. Closing with unread data would
// reset the connection, and the caller would lose the refusal.
func (c *progressConn) Close() error {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.linger && t.CloseWrite() == nil && t.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, t, lingerBytes)
	}
	return c.Conn.Close()
}

func (c *progressConn) Write(b []byte) (int, error) {
	total := 0
	for {
		// The deadline is moved only when less than the progress time is left, because that costs time for
		// every token.
		now := time.Now()
		if c.until.Sub(now) < c.progress {
			c.until = now.Add(c.progress + c.progress/16)
			if err := c.SetWriteDeadline(c.until); err != nil {
				return total, err
			}
		}
		n, err := c.Conn.Write(b[total:])
		total += n
		var timeout net.Error
		if err == nil || n == 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return total, err
		}
	}
}

// quiet logs what fasthttp logs, which is mostly about broken connections, at debug level.
type quiet struct{ log *zerolog.Logger }

func (q quiet) Printf(format string, args ...any) { q.log.Debug().Msgf("caller: "+format, args...) }

func whole(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

func or(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

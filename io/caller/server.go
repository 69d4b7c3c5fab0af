package caller

import (
	"cmp"
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

// Server accepts callers' connections. Set the exported fields before Run.
type Server struct {
	Listener        net.Listener
	Handler         fasthttp.RequestHandler
	WriteTimeout    clock.Span // timeout of a write without progress, 0 means 10 s; a write may take up to 1/16 longer
	ReadTimeout     clock.Span // timeout for receiving a whole request, 0 means 30 s
	IdleTimeout     clock.Span // idle timeout of a connection, 0 means 60 s
	Linger          clock.Span // how long new connections are accepted after the end of the context, 0 means 200 ms
	ShutdownTimeout clock.Span // limit of the graceful shutdown that follows, 0 means none
	MaxBody         int        // largest body in bytes, 0 means BodyLimit
	MaxHeader       int        // largest request line and headers in bytes, 0 means HeaderLimit
	BodyMemory      int64      // memory of all bodies that are held at the same time, in bytes, 0 means 64 MiB
	IDHeader        string     // header with the identifier of a request, "" for none
	// OnUnreadable answers a request that could not be read; nil answers with problem details.
	OnUnreadable func(*fasthttp.RequestCtx, *work.Refusal)
	Log          zerolog.Logger

	bodies *bodyMemory
}

// Run serves until the context ends, then shuts down gracefully: it stops accepting connections, closes idle ones and returns
// when all responses have ended or ShutdownTimeout has passed. It continues to accept for Linger, so that the handler can
// refuse new requests: closing the listener at once would reset the connections that wait to be accepted.
func (s *Server) Run(ctx context.Context) error {
	readTimeout := spanOrDefault(s.ReadTimeout, 30*clock.Second).Std()
	maxBody := intOrDefault(s.MaxBody, BodyLimit)
	s.bodies = &bodyMemory{
		idHeader: s.IDHeader, maxBody: maxBody, readTimeout: readTimeout,
		total: cmp.Or(s.BodyMemory, defaultBodyMemory), free: cmp.Or(s.BodyMemory, defaultBodyMemory),
		held: make(map[*fasthttp.RequestHeader]*reservation),
	}
	srv := &fasthttp.Server{
		Handler:               s.handle,
		HeaderReceived:        s.bodies.admit,
		ErrorHandler:          s.unreadable,
		MaxRequestBodySize:    maxBody,
		ReadBufferSize:        intOrDefault(s.MaxHeader, HeaderLimit),
		Concurrency:           ParallelLimit,
		ReadTimeout:           readTimeout,
		IdleTimeout:           spanOrDefault(s.IdleTimeout, 60*clock.Second).Std(),
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                debugLogger{&s.Log},

		// A form that is parsed and written again has other bytes than the caller sent.
		DisablePreParseMultipartForm: true,
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(&listener{s.Listener, spanOrDefault(s.WriteTimeout, 10*clock.Second).Std()}) }()
	select {
	case err := <-done:
		return oops.Wrapf(err, "caller server")
	case <-ctx.Done():
	}
	time.Sleep(spanOrDefault(s.Linger, 200*clock.Millisecond).Std())
	end, cancel := context.WithCancel(context.Background())
	if s.ShutdownTimeout > 0 {
		end, cancel = context.WithTimeout(context.Background(), s.ShutdownTimeout.Std())
	}
	defer cancel()
	if err := srv.ShutdownWithContext(end); err != nil {
		return oops.Wrapf(err, "caller server shutdown")
	}
	return oops.Wrapf(<-done, "caller server")
}

// handle serves a request whose body has arrived.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.bodies.claim(ctx)
	s.Handler(ctx)
}

// unreadable answers a request that could not be read. No part of it ran.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	r := &work.Refusal{Code: work.CodeBadRequest, Status: fasthttp.StatusBadRequest, Ran: work.NotRun, Detail: "the request could not be read"}
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	exhausted := s.bodies.fail(&ctx.Request.Header)
	switch {
	case exhausted && errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Code, r.Status, r.Retry = work.CodeOverloaded, fasthttp.StatusServiceUnavailable, memoryRetry
		r.Detail = "no memory is free for the body"
	case errors.As(err, &small):
		r.Code, r.Status, r.Detail = work.CodeTooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Code, r.Status, r.Detail = work.CodeTooLarge, fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &timeout) && timeout.Timeout():
		r.Status, r.Detail = fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	}
	if s.OnUnreadable != nil {
		s.OnUnreadable(ctx, r)
	} else {
		Problem(ctx, r, "")
	}
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*progressConn); ok {
		c.readRest = true
	}
}

// sendBuffer is the size that is set for a connection's send buffer, in bytes; Linux allocates twice as much. Without it the buffer would
// grow to several MB for a caller that reads slowly, which the VM's memory does not allow for. It is above what a link of 200 Mbit/s carries in a round trip of a
// few milliseconds, so that callers who read at once notice nothing.
const sendBuffer = 128 << 10

// listener sets a progress timeout for the writes of each accepted connection.
type listener struct {
	net.Listener
	timeout time.Duration
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetWriteBuffer(sendBuffer) // it fails only for a connection that is closed already
	}
	return &progressConn{Conn: c, timeout: l.timeout}, nil
}

// progressConn fails a write if the caller reads nothing within the progress timeout. fasthttp's own write timeout isn't used
// because it covers a whole response and would cut long streams.
type progressConn struct {
	net.Conn
	timeout       time.Duration
	writeDeadline time.Time // write deadline that is set on Conn
	readRest      bool      // the rest of a request that was refused early may still arrive; Close reads it
}

// Bounds on reading the rest of a request that was refused before it had arrived whole.
const (
	maxRestTime  = 500 * time.Millisecond
	maxRestBytes = 4 << 20
)

// Close first reads, within bounds, what the caller still sends after an early refusal. Closing with unread data would reset
// the connection, and the caller would lose the refusal.
func (c *progressConn) Close() error {
	if t, ok := c.Conn.(*net.TCPConn); ok && c.readRest && t.CloseWrite() == nil && t.SetReadDeadline(time.Now().Add(maxRestTime)) == nil {
		_, _ = io.CopyN(io.Discard, t, maxRestBytes)
	}
	return c.Conn.Close()
}

// Write continues after a timeout if some bytes were written, because then the caller has made progress.
func (c *progressConn) Write(b []byte) (int, error) {
	total := 0
	for {
		// The deadline is extended only when less than the progress timeout is left, because setting it for each token
		// would cost too much time.
		now := time.Now()
		if c.writeDeadline.Sub(now) < c.timeout {
			c.writeDeadline = now.Add(c.timeout + c.timeout/16)
			if err := c.SetWriteDeadline(c.writeDeadline); err != nil {
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

// debugLogger passes fasthttp's log messages, most of them about broken connections, to the log at debug level.
type debugLogger struct{ log *zerolog.Logger }

func (q debugLogger) Printf(format string, args ...any) {
	q.log.Debug().Msgf("caller: "+format, args...)
}

func intOrDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

func spanOrDefault(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

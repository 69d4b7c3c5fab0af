package caller

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/io/conn"
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

// Server accepts callers' connections. Set the exported fields before Run. The limits that the operator's configuration names go before
// them, see SetLimits.
type Server struct {
	Listener        net.Listener
	Handler         fasthttp.RequestHandler
	WriteTimeout    clock.Span // timeout of a write without progress, 0 means 10 s; a write may take up to 1/16 longer
	ReadTimeout     clock.Span // timeout for receiving a whole request, 0 means 30 s; it is longer if the limits let the head take longer
	IdleTimeout     clock.Span // idle timeout of a connection, 0 means 60 s
	Linger          clock.Span // how long new connections are accepted after the end of the context, 0 means 200 ms
	ShutdownTimeout clock.Span // limit of the graceful shutdown that follows, 0 means none
	MaxBody         int        // largest body in bytes, 0 means BodyLimit
	MaxHeader       int        // largest request line and headers in bytes, and size of the read buffer, 0 means HeaderLimit
	BodyMemory      int64      // memory of all bodies that are held at the same time, in bytes, 0 means 64 MiB
	IDHeader        string     // header with the identifier of a request, "" for none
	// OnUnreadable answers a request that could not be read; nil answers with problem details.
	OnUnreadable func(*fasthttp.RequestCtx, *work.Refusal)
	Log          zerolog.Logger

	bodies      *bodyMemory
	limits      atomic.Pointer[catalog.Limits] // as of SetLimits, nil for none
	connections connections
}

// Run serves until the context ends, then shuts down gracefully: it stops accepting connections, closes idle ones and returns
// when all responses have ended or ShutdownTimeout has passed. It continues to accept for Linger, so that the handler can
// refuse new requests: closing the listener at once would reset the connections that wait to be accepted.
func (s *Server) Run(ctx context.Context) error {
	s.bodies = &bodyMemory{
		idHeader: s.IDHeader, maxBody: s.bodyLimit, timeout: s.requestTimeout,
		total: cmp.Or(s.BodyMemory, defaultBodyMemory), free: cmp.Or(s.BodyMemory, defaultBodyMemory),
		held: make(map[*fasthttp.RequestHeader]*reservation),
	}
	srv := &fasthttp.Server{
		Handler:               s.handle,
		HeaderReceived:        s.bodies.admit,
		ErrorHandler:          s.unreadable,
		ConnState:             changeState,
		ReadBufferSize:        s.readBuffer(),
		Concurrency:           ParallelLimit,
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
	go func() { done <- srv.Serve(&listener{s.Listener, s}) }()
	select {
	case err := <-done:
		return oops.Wrapf(err, "caller server")
	case <-ctx.Done():
	}
	time.Sleep(firstSet(s.Linger, 200*clock.Millisecond))
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
	if headSize(&ctx.Request.Header) > s.headLimit() {
		s.refuse(ctx, unreadRefusal(errLargeHead, false))
		return
	}
	if !conn.ValidFields(ctx.Request.Header.RawHeaders()) { // fasthttp accepts blanks inside a name
		s.refuse(ctx, unreadRefusal(errMalformedField, false))
		return
	}
	s.Handler(ctx)
}

// unreadable refuses a request that fasthttp could not read, unless only its head exceeds the read buffer: that one is served. No part of a
// refused request ran.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	c, ok := ctx.Conn().(*connection)
	if ok && s.exceedsBuffer(c, err) {
		if err = s.serveLargeHead(ctx, c); err == nil {
			return
		}
	}
	exhausted := s.bodies.fail(&ctx.Request.Header)
	if ok {
		s.restoreID(ctx, c)
		c.readRest = true
	}
	s.refuse(ctx, unreadRefusal(err, exhausted))
	ctx.SetConnectionClose()
}

// unreadRefusal returns the refusal of a request that could not be read. exhausted means that its body was too large only because memory is
// used up.
func unreadRefusal(err error, exhausted bool) *work.Refusal {
	r := &work.Refusal{Code: work.CodeBadRequest, Status: fasthttp.StatusBadRequest, Ran: work.NotRun, Detail: "the request could not be read"}
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errHeadMemory):
		r.Code, r.Status, r.Retry = work.CodeOverloaded, fasthttp.StatusServiceUnavailable, memoryRetry
		r.Detail = "no memory is free for the headers"
	case errors.Is(err, errHeadNotKept):
		r.Code, r.Status, r.Retry = work.CodeOverloaded, fasthttp.StatusServiceUnavailable, memoryRetry
		r.Detail = "the headers can be read on another connection only"
	case exhausted && errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Code, r.Status, r.Retry = work.CodeOverloaded, fasthttp.StatusServiceUnavailable, memoryRetry
		r.Detail = "no memory is free for the body"
	case errors.As(err, &small), errors.Is(err, errLargeHead):
		r.Code, r.Status, r.Detail = work.CodeTooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge, "the headers are too large"
	case errors.Is(err, errMalformedField):
		r.Detail = "a header field is malformed"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.Code, r.Status, r.Detail = work.CodeTooLarge, fasthttp.StatusRequestEntityTooLarge, "the body is too large"
	case errors.As(err, &timeout) && timeout.Timeout():
		r.Status, r.Detail = fasthttp.StatusRequestTimeout, "the request did not arrive in time"
	}
	return r
}

// refuse answers with a refusal.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *work.Refusal) {
	if s.OnUnreadable != nil {
		s.OnUnreadable(ctx, r)
	} else {
		Problem(ctx, r, "")
	}
}

// debugLogger passes fasthttp's log messages, most of them about broken connections, to the log at debug level.
type debugLogger struct{ log *zerolog.Logger }

func (q debugLogger) Printf(format string, args ...any) {
	q.log.Debug().Msgf("caller: "+format, args...)
}

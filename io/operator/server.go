package operator

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// maxForm is the largest form that is accepted, in bytes. A preview carries two documents of up to 1 MB, and the URL
// encoding of forms writes up to three bytes for one.
const maxForm = 8 << 20

// Backend is the part of the daemon that the operator port uses. Its methods must be safe for concurrent use.
type Backend interface {
	// Ready reports whether the VM accepts new requests, and the reason if it does not.
	Ready() (ok bool, reason string)
	// Status returns the status of this VM.
	Status() Status
	// Current returns the document in force on this VM, nil before the first one.
	Current() *document.Snapshot
	// Read returns the document in the platform's store; Document is nil if there is none. If the stored document is
	// not valid, Read returns an error together with a snapshot that has only the revision.
	Read(ctx context.Context) (document.Snapshot, error)
	// Replace stores a document if the one in the platform's store is still base, and returns the new revision. It
	// returns *document.Conflict if another one is stored.
	Replace(ctx context.Context, base document.Snapshot, d *document.Document) (uint64, error)
}

// Server serves the operator port. Set the exported fields before the first request.
type Server struct {
	Backend  Backend
	Persons  []Person
	Secret   []byte // key of the forms' CSRF tokens, the same on every entry VM
	Gatherer prometheus.Gatherer
	Clock    clock.Clock
	Log      zerolog.Logger

	once    sync.Once
	metrics fasthttp.RequestHandler
	server  *fasthttp.Server
}

// Serve answers requests on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.init()
	return s.server.Serve(l)
}

// Shutdown stops accepting connections, closes idle ones and waits for requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	return s.server.ShutdownWithContext(ctx)
}

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	s.init()
	h := &ctx.Response.Header
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("X-Frame-Options", "DENY")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("Cache-Control", "no-store")
	switch path := string(ctx.Path()); {
	case !ctx.IsGet() && !ctx.IsHead() && !ctx.IsPost():
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		s.serveReady(ctx)
	case path == "/metrics":
		s.metrics(ctx)
	case path == "/style.css":
		ctx.SetContentType("text/css; charset=utf-8")
		ctx.SetBodyString(style)
	default:
		s.serveOperator(ctx, path)
	}
}

func (s *Server) init() {
	s.once.Do(func() {
		g := s.Gatherer
		if g == nil {
			g = prometheus.NewRegistry()
		}
		s.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
		s.server = &fasthttp.Server{
			Handler:            s.Handle,
			Name:               "shallotrun",
			MaxRequestBodySize: maxForm,
			ReadTimeout:        30 * time.Second,
			IdleTimeout:        30 * time.Second,
			CloseOnShutdown:    true,
			Concurrency:        256,
		}
	})
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	ok, reason := s.Backend.Ready()
	if ok {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason + "\n")
}

// serveOperator serves the paths for operators. Without valid credentials, every path gets the same response without
// content.
func (s *Server) serveOperator(ctx *fasthttp.RequestCtx, path string) {
	p, ok := authenticate(s.Persons, string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Basic realm="shallotrun", charset="UTF-8"`)
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	if path == "/status" {
		s.serveStatus(ctx)
		return
	}
	if !ctx.IsPost() {
		s.servePage(ctx, p, strings.Trim(path, "/"))
		return
	}
	// A POST without the right to change, from another site or with an invalid token gets a response without content.
	if p.Right != RightChange || !s.sameSite(ctx) || !s.formTokenValid(p, string(ctx.PostArgs().Peek("csrf"))) {
		s.Log.Warn().Str("operator", p.Name).Str("path", path).Msg("operator: change refused: no right to change, or a form from another site or with an invalid token")
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	s.servePost(ctx, p, strings.Trim(path, "/"))
}

func (s *Server) serveStatus(ctx *fasthttp.RequestCtx) {
	raw, err := json.Marshal(s.Backend.Status())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

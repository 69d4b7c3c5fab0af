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

// maxForm is the largest form, in bytes: a preview carries two documents of up to 1 MB in the encoding of
// forms, which writes up to three bytes for one.
const maxForm = 8 << 20

// Backend is what the port needs from the daemon. Its methods may be called from several goroutines.
type Backend interface {
	// Ready reports whether the VM takes new work, and why not.
	Ready() (ok bool, reason string)
	// Status returns the status of this VM.
	Status() Status
	// Current returns the document in force on this VM, nil before the first one.
	Current() *document.Snapshot
	// Read returns the document in the platform; Document is nil where there is none. The snapshot that comes
	// with an error has a revision if the stored document is not valid.
	Read(ctx context.Context) (document.Snapshot, error)
	// Replace stores a document if the platform still has base. It returns *document.Conflict if not.
	Replace(ctx context.Context, base document.Snapshot, d *document.Document) (uint64, error)
}

// Server serves the operator port. Set the exported fields before the first request.
type Server struct {
	Backend  Backend
	Persons  []Person
	Secret   []byte // signs forms; the same on every entry VM
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

// Shutdown waits for running requests and closes idle connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	return s.server.ShutdownWithContext(ctx)
}

// Handle answers one request.
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
		s.ready(ctx)
	case path == "/metrics":
		s.metrics(ctx)
	case path == "/style.css":
		ctx.SetContentType("text/css; charset=utf-8")
		ctx.SetBodyString(style)
	default:
		s.restricted(ctx, path)
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

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	ok, reason := s.Backend.Ready()
	if ok {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason + "\n")
}

// restricted answers operators. Anybody else gets a response without content, the same for every path.
func (s *Server) restricted(ctx *fasthttp.RequestCtx, path string) {
	p, ok := identify(s.Persons, string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if !ok {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, `Basic realm="shallotrun", charset="UTF-8"`)
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	if path == "/status" {
		s.status(ctx)
		return
	}
	if !ctx.IsPost() {
		s.page(ctx, p, strings.Trim(path, "/"))
		return
	}
	// A post without the right or from another site shows nothing either.
	if p.Right != Change || !s.sameSite(ctx) || !s.tokenValid(p, string(ctx.PostArgs().Peek("csrf"))) {
		s.Log.Warn().Str("operator", p.Name).Str("path", path).Msg("operator: change refused, no right or a form that is not ours")
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	s.post(ctx, p, strings.Trim(path, "/"))
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	raw, err := json.Marshal(s.Backend.Status())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

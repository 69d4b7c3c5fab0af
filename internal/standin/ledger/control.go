package ledger

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// Handler returns the handler of the control port. Other paths than those of the package comment go to extra, which may be nil.
func (l *Ledger) Handler(extra fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch path := string(ctx.Path()); {
		case path == "/log":
			since := ctx.QueryArgs().GetUintOrZero("since")
			ctx.SetContentType("application/x-ndjson")
			es := l.Entries(uint64(since))
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				enc := json.NewEncoder(w)
				for _, e := range es {
					if err := enc.Encode(e); err != nil {
						return
					}
				}
			})
		case path == "/counts":
			Reply(ctx, fasthttp.StatusOK, l.Counts())
		case path == "/faults":
			Reply(ctx, fasthttp.StatusOK, l.Faults.All())
		case path == "/fault" && ctx.IsPost():
			var x Fault
			if err := json.Unmarshal(ctx.PostBody(), &x); err != nil {
				Fail(ctx, fasthttp.StatusBadRequest, "bad-request", err.Error())
				return
			}
			if err := l.Faults.Set(x); err != nil {
				Fail(ctx, fasthttp.StatusBadRequest, "bad-fault", err.Error())
				return
			}
			Reply(ctx, fasthttp.StatusOK, x)
		case extra != nil:
			extra(ctx)
		default:
			Fail(ctx, fasthttp.StatusNotFound, "not-found", path)
		}
	}
}

// Serve serves h on ln until ctx ends, then closes all connections.
func Serve(ctx context.Context, ln net.Listener, h fasthttp.RequestHandler) error {
	s := &fasthttp.Server{Handler: h, MaxRequestBodySize: 4 << 20, NoDefaultServerHeader: true, Logger: discardLogger{}}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	if err := s.Serve(ln); err != nil && ctx.Err() == nil && !strings.Contains(err.Error(), "closed") {
		return err
	}
	return nil
}

// Reply writes v as JSON.
func Reply(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Fail writes the JSON object {"code", "detail"}.
func Fail(ctx *fasthttp.RequestCtx, status int, code, detail string) {
	Reply(ctx, status, map[string]any{"code": code, "detail": detail})
}

// discardLogger drops fasthttp's log lines about broken connections, because stand-ins break connections on purpose.
type discardLogger struct{}

// Printf implements [fasthttp.Logger].
func (discardLogger) Printf(string, ...any) {}

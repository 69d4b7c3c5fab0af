package platform

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/internal/standin/ledger"
)

// maxValue is the size of the largest value that the store accepts, in bytes.
const maxValue = 1_000_000

// Faults are the names of the faults of the platform.
var Faults = []string{"down", "silent", "slow", "lose", "freeze"}

// Platform is the stand-in. Set the exported fields before Init.
type Platform struct {
	Ledger      *ledger.Ledger
	ReadLimit   int        // calls per second for reads, lists and watches; 0 is no limit
	WriteLimit  int        // calls per second for changes; 0 is no limit
	VMListDelay clock.Span // delay until a change of the VM list is visible

	clock  clock.Clock
	store  store
	vms    vms
	reads  *rate.Limiter
	writes *rate.Limiter
}

// Init prepares the store and the rate limits. It has to be called before the handlers are used.
func (p *Platform) Init() {
	p.store.init()
	p.reads, p.writes = newLimiter(p.ReadLimit), newLimiter(p.WriteLimit)
}

// Handler serves the platform's port.
func (p *Platform) Handler(ctx *fasthttp.RequestCtx) {
	f := &p.Ledger.Faults
	if d := f.Number("slow"); d > 0 {
		time.Sleep(clock.Span(d).Std())
	}
	if f.Applies("down") {
		p.Ledger.Count("down")
		ledger.Fail(ctx, fasthttp.StatusServiceUnavailable, "down", "the platform is down")
		return
	}
	area, kind, name := split(string(ctx.Path()))
	action, limit := "unknown", p.reads
	switch {
	case area == "vms" && kind == "":
		action = "vms"
	case area == "watch" && kind != "":
		action = "watch"
	case area == "objects" && kind != "" && name == "" && ctx.IsGet():
		action = "list"
	case area == "objects" && name != "" && ctx.IsGet():
		action = "get"
	case area == "objects" && name != "" && ctx.IsPut():
		action, limit = "put", p.writes
	case area == "objects" && name != "" && ctx.IsDelete():
		action, limit = "delete", p.writes
	}
	if action != "put" && action != "delete" {
		p.Ledger.Count(action)
	}
	if !limit.Allow() {
		p.Ledger.Count("limited")
		ctx.Response.Header.Set("Retry-After", "1")
		ledger.Fail(ctx, fasthttp.StatusTooManyRequests, "limited", "above the rate limit")
		return
	}
	p.dispatch(ctx, action, kind, name)
}

func (p *Platform) dispatch(ctx *fasthttp.RequestCtx, action, kind, name string) {
	args := ctx.QueryArgs()
	switch action {
	case "vms":
		_, frozen := p.Ledger.Faults.Active("freeze")
		ledger.Reply(ctx, fasthttp.StatusOK, p.vms.list(p.clock.Now(), frozen))
	case "watch":
		p.watch(ctx, kind)
	case "list":
		ledger.Reply(ctx, fasthttp.StatusOK, p.store.list(kind, string(args.Peek("prefix"))))
	case "get":
		o, ok := p.store.get(kind, name)
		if !ok {
			ledger.Fail(ctx, fasthttp.StatusNotFound, "absent", kind+"/"+name)
			return
		}
		ledger.Reply(ctx, fasthttp.StatusOK, o)
	case "put", "delete":
		p.change(ctx, action, kind, name)
	default:
		ledger.Fail(ctx, fasthttp.StatusNotFound, "not-found", string(ctx.Path()))
	}
}

// change puts or deletes an object. With the fault "lose" the change takes effect and no reply is sent. A conflict then gets no
// reply either.
func (p *Platform) change(ctx *fasthttp.RequestCtx, action, kind, name string) {
	value := ctx.PostBody()
	if len(value) > maxValue {
		ledger.Fail(ctx, fasthttp.StatusRequestEntityTooLarge, "too-large", "values are up to 1 MB")
		return
	}
	cond := string(ctx.QueryArgs().Peek("if"))
	e := ledger.Entry{Kind: action, Code: kind, Name: name}
	if _, ok := p.store.get(kind, name); action == "delete" && !ok {
		ledger.Fail(ctx, fasthttp.StatusNotFound, "absent", kind+"/"+name)
		return
	}
	o, ok := p.store.put(kind, name, cond, value, action == "delete")
	e.Number = o.Version
	lost := p.Ledger.Faults.Applies("lose")
	switch {
	case !ok:
		e.Outcome = "conflict"
	case lost:
		e.Outcome = "lost"
	default:
		e.Outcome = "done"
	}
	p.Ledger.Add(e)
	switch {
	case lost:
		ctx.Conn().Close()
	case !ok:
		ledger.Reply(ctx, fasthttp.StatusConflict, map[string]any{"code": "conflict", "version": o.Version})
	default:
		o.Value = nil
		ledger.Reply(ctx, fasthttp.StatusOK, o)
	}
}

func (p *Platform) watch(ctx *fasthttp.RequestCtx, kind string) {
	args := ctx.QueryArgs()
	since, _ := strconv.ParseUint(string(args.Peek("since")), 10, 64)
	wait := clock.Span(args.GetUintOrZero("wait")).Std()
	timeout := time.NewTimer(min(wait, time.Minute))
	defer timeout.Stop()
	for done := false; ; {
		items, changed := p.store.since(kind, since)
		if len(items.Items) > 0 || done {
			ledger.Reply(ctx, fasthttp.StatusOK, items)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			done = true
		}
	}
}

// Control serves the paths of the control port that only the platform has.
func (p *Platform) Control(ctx *fasthttp.RequestCtx) {
	area, kind, name := split(string(ctx.Path()))
	switch {
	case area == "vms" && ctx.IsPost():
		var r work.VM
		if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.Name == "" {
			ledger.Fail(ctx, fasthttp.StatusBadRequest, "bad-request", "a row needs a name")
			return
		}
		p.vms.set(r, p.clock.Now().Add(p.VMListDelay))
		ledger.Reply(ctx, fasthttp.StatusOK, r)
	case area == "vms" && ctx.IsDelete():
		p.vms.set(work.VM{Name: kind}, p.clock.Now().Add(p.VMListDelay))
		ledger.Reply(ctx, fasthttp.StatusOK, kind)
	case area == "objects" && name == "":
		ledger.Reply(ctx, fasthttp.StatusOK, p.store.list(kind, string(ctx.QueryArgs().Peek("prefix"))))
	default:
		ledger.Fail(ctx, fasthttp.StatusNotFound, "not-found", string(ctx.Path()))
	}
}

// split divides /AREA/KIND/NAME; the name may contain slashes.
func split(path string) (area, kind, name string) {
	area, rest, _ := strings.Cut(strings.Trim(path, "/"), "/")
	kind, name, _ = strings.Cut(rest, "/")
	return area, kind, name
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func itoa(v uint64) string { return strconv.FormatUint(v, 10) }

package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// tagReply is the answer of the plain service, with the tag that it created, read or changed.
type tagReply struct {
	Number uint64 `json:"number"`
	Item   string `json:"item"`
	State  string `json:"state"`
}

// plain calls the plain service. A call with an Idempotency-Key that breaks, or that is refused with its outcome unknown, is retried
// with the same key at other entry VMs, as a caller would do.
func (g *Generator) plain(r *request) {
	start := g.clock.Now()
	for i := 0; ; i++ {
		addr := g.target(r.firstTarget + i)
		err := g.plainOnce(r, addr)
		r.TotalLatency = g.clock.Now().Sub(start)
		r.FirstLatency = r.TotalLatency
		if errors.Is(err, errDial) {
			if r.DialFailures++; r.DialFailures > 2*len(g.Targets) {
				r.Outcome, r.Error = Broken, "no entry VM accepted a connection"
				return
			}
			g.markFailed(addr)
			continue
		}
		if err != nil {
			g.recordBreak(r, addr, err)
			g.markFailed(addr)
		}
		retry := r.Outcome == Broken || r.Outcome == Refused && r.Ran == "unknown"
		if r.Key == "" || !retry || r.Resumes >= g.MaxResumes {
			return
		}
		r.Resumes++
	}
}

// plainTwice sends a call with an Idempotency-Key to two entry VMs at once, as when a user submits a form twice. The record is that
// of the call that was answered, with the request ids, breaks and resumes of both.
func (g *Generator) plainTwice(r *request) {
	other := *r
	other.firstTarget++
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.plain(&other)
	}()
	g.plain(r)
	<-done
	if r.Outcome != Answered && other.Outcome == Answered {
		*r, other = other, *r
	}
	r.RequestIDs = append(other.RequestIDs, r.RequestIDs...)
	r.Breaks = append(r.Breaks, other.Breaks...)
	r.Resumes += other.Resumes + 1
}

// plainOnce makes one attempt. It returns nil if the call was answered or refused.
func (g *Generator) plainOnce(r *request, addr string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	method, path := fasthttp.MethodPost, "/tags"
	switch r.Kind {
	case KindDispatch:
		path = "/dispatch"
	case KindLookup:
		method, path = fasthttp.MethodGet, "/tags/"+strconv.FormatUint(r.pathNumber, 10)
	case KindState:
		method, path = fasthttp.MethodPut, "/tags/"+strconv.FormatUint(r.pathNumber, 10)+"/state"
	}
	req.SetRequestURI("http://" + addr + "/services/" + g.Mix.Service + path)
	req.Header.SetMethod(method)
	setHeaders(req, r)
	if method != fasthttp.MethodGet {
		b, err := json.Marshal(map[string]string{"item": r.Item, "state": "stored"})
		if err != nil {
			return err
		}
		req.SetBody(b)
	}
	r.Target = addr
	idleTimeout := g.IdleTimeout
	if r.Key != "" {
		idleTimeout = g.ResumableIdleTimeout
	}
	resp, err := call(addr, req, idleTimeout)
	if err != nil {
		return err
	}
	defer resp.conn.Close()
	if resp.requestID != "" {
		r.RequestIDs = append(r.RequestIDs, resp.requestID)
	}
	r.Status = resp.status
	if resp.status != fasthttp.StatusOK && resp.status != fasthttp.StatusCreated {
		if !resp.readRefusal(&r.Record) {
			return fmt.Errorf("status %d without a problem details object", resp.status)
		}
		return nil
	}
	b, err := io.ReadAll(resp.body)
	if err != nil {
		return err
	}
	var reply tagReply
	if err := json.Unmarshal(b, &reply); err != nil {
		return err
	}
	r.Outcome, r.Code, r.Ran, r.Error, r.TagNumber, r.Complete = Answered, "", "", "", reply.Number, true
	if method != fasthttp.MethodGet && reply.Item != r.Item {
		r.Complete, r.Wrong = false, "answer is about item "+reply.Item
	}
	return nil
}

package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// desk is the reply of the tag desk.
type desk struct {
	Number uint64 `json:"number"`
	Item   string `json:"item"`
	State  string `json:"state"`
}

// plain calls the plain service. A call with a key that breaks or whose outcome is unknown is tried again
// with the same key at other entry VMs, as a caller would.
func (l *Load) plain(r *request) {
	start := l.clock.Now()
	for i := 0; ; i++ {
		addr := l.target(r.start + i)
		err := l.plainOnce(r, addr)
		r.Total = l.clock.Now().Sub(start)
		r.First = r.Total
		if errors.Is(err, errDial) {
			if r.Dials++; r.Dials > 2*len(l.Targets) {
				r.Outcome, r.Error = Broken, "no entry VM accepted a connection"
				return
			}
			l.avoid(addr)
			continue
		}
		if err != nil {
			l.broke(r, addr, err)
			l.avoid(addr)
		}
		again := r.Outcome == Broken || r.Outcome == Refused && r.Ran == "unknown"
		if r.Key == "" || !again || r.Resumes >= l.Resumes {
			return
		}
		r.Resumes++
	}
}

// both sends a call with a key to two entry VMs at once, as a caller that presses a button twice. The record
// is that of the call that was answered, with the request ids of both.
func (l *Load) both(r *request) {
	other := *r
	other.start++
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.plain(&other)
	}()
	l.plain(r)
	<-done
	if r.Outcome != Answered && other.Outcome == Answered {
		*r, other = other, *r
	}
	r.Requests = append(other.Requests, r.Requests...)
	r.Breaks = append(r.Breaks, other.Breaks...)
	r.Resumes += other.Resumes + 1
}

func (l *Load) plainOnce(r *request, addr string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	method, path := fasthttp.MethodPost, "/tags"
	switch r.Kind {
	case KindDispatch:
		path = "/dispatch"
	case KindLookup:
		method, path = fasthttp.MethodGet, "/tags/"+strconv.FormatUint(r.number, 10)
	case KindState:
		method, path = fasthttp.MethodPut, "/tags/"+strconv.FormatUint(r.number, 10)+"/state"
	}
	req.SetRequestURI("http://" + addr + "/services/" + l.Mix.Service + path)
	req.Header.SetMethod(method)
	head(req, r)
	if method != fasthttp.MethodGet {
		b, err := json.Marshal(map[string]string{"item": r.Item, "state": "stored"})
		if err != nil {
			return err
		}
		req.SetBody(b)
	}
	r.Target = addr
	stall := l.Stall
	if r.Key != "" {
		stall = l.Gap
	}
	resp, err := call(addr, req, stall)
	if err != nil {
		return err
	}
	defer resp.conn.Close()
	if resp.request != "" {
		r.Requests = append(r.Requests, resp.request)
	}
	r.Status = resp.status
	if resp.status != fasthttp.StatusOK && resp.status != fasthttp.StatusCreated {
		if !resp.refused(&r.Record) {
			return fmt.Errorf("status %d without a problem details object", resp.status)
		}
		return nil
	}
	b, err := io.ReadAll(resp.body)
	if err != nil {
		return err
	}
	var d desk
	if err := json.Unmarshal(b, &d); err != nil {
		return err
	}
	r.Outcome, r.Code, r.Ran, r.Error, r.Number, r.Whole = Answered, "", "", "", d.Number, true
	if method != fasthttp.MethodGet && d.Item != r.Item {
		r.Whole, r.Wrong = false, "answer is about item "+d.Item
	}
	return nil
}

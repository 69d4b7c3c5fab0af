package plain

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/io/conn"
)

// Client calls plain services.
type Client struct {
	Pool     *conn.Pool
	Progress clock.Span // time for each read of a body, 0 means 10 s
}

// Field is one header of a call.
type Field struct{ Name, Value string }

// Call is one call. Fields and body are only read, so that two attempts may share them.
type Call struct {
	Method  string
	URI     string  // path and query
	Fields  []Field // that pass through
	Body    []byte
	Request string
	Left    clock.Span // time until the header of the answer must have arrived
	Trace   string     // traceparent
	Fresh   bool       // use a new connection
}

// Refused is a service's own refusal: it did not run the call.
type Refused struct {
	Status int
	Code   string `json:"code"`
	Ran    *bool  `json:"ran"`
}

// Error describes the refusal.
func (r *Refused) Error() string { return "the service refused with " + r.Code }

// Answer is a service's answer. Body is nil when Small holds the whole body. Close it.
type Answer struct {
	*conn.Response
	Small []byte
}

// Fields copies the headers that pass through. Two attempts may share the copy, and it may outlive fasthttp's
// request.
func Fields(h *fasthttp.RequestHeader) (out []Field) {
	for k, v := range h.All() {
		if passes(string(k)) {
			out = append(out, Field{string(k), string(v)})
		}
	}
	return out
}

// Do sends the call once. Errors are a *Refused or a *conn.Error.
func (c *Client) Do(addr string, v *Call) (*Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	for _, f := range v.Fields {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.SetMethod(v.Method)
	req.Header.SetRequestURI(v.URI)
	req.Header.SetHost(addr)
	req.Header.Set("Shallot-Request", v.Request)
	if v.Trace != "" {
		req.Header.Set("traceparent", v.Trace)
	}
	req.Header.Set("Shallot-Deadline", strconv.FormatInt(int64(v.Left), 10))
	req.SetBodyRaw(v.Body)
	resp, err := c.Pool.Call(addr, req, conn.Options{Progress: or(c.Progress, 10*clock.Second), First: v.Left, Fresh: v.Fresh})
	if err != nil {
		return nil, err
	}
	a := &Answer{Response: resp}
	switch resp.Status {
	case fasthttp.StatusConflict, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return a.check(addr)
	}
	return a, nil
}

// CopyHeader copies the headers that pass through to the caller.
func (a *Answer) CopyHeader(to *fasthttp.ResponseHeader) {
	for k, b := range a.Header.All() {
		if passes(string(k)) {
			to.AddBytesKV(k, b)
		}
	}
}

// maxRefusal is the size limit of a refusal in bytes; a longer body is an answer.
const maxRefusal = 16 << 10

// check tells a service's own refusal from an answer with the same status.
func (a *Answer) check(addr string) (*Answer, error) {
	n := a.Header.ContentLength()
	if a.Body == nil || n > maxRefusal || n < 0 {
		return a, nil
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		a.Close(false)
		return nil, &conn.Error{Addr: addr, Sent: true, Err: conn.Cause(err)}
	}
	r := &Refused{Status: a.Status}
	if json.Unmarshal(b, r) == nil && r.Ran != nil && !*r.Ran {
		a.Close(true)
		return nil, oops.Wrap(r)
	}
	a.Small, a.Body = b, nil
	return a, nil
}

// passes reports whether a header goes through: not those of one hop, and not what only the router reads.
func passes(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length", "authorization", "expect",
		"shallot-request", "shallot-deadline", "shallot-rank", "shallot-session", "traceparent":
		return false
	}
	return true
}

func or(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

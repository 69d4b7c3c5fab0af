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
	Pool        *conn.Pool
	ReadTimeout clock.Span // timeout of each write and of each read of a body, 0 means 10 s
}

// Header is one header field of a call.
type Header struct{ Name, Value string }

// Call is one call. Headers and Body are never modified, so attempts that run at the same time may share them.
type Call struct {
	Method  string
	URI     string   // path and query
	Headers []Header // headers that pass through
	Body    []byte
	Request string
	Left    clock.Span // time left for the header of the answer, its read timeout; sent in Shallot-Deadline
	Trace   string     // traceparent
	NewConn bool       // use a new connection
}

// Refused is a refusal by the service itself, which states that the call did not run.
type Refused struct {
	Status int
	Code   string `json:"code"`
	Ran    *bool  `json:"ran"`
}

// Error returns a text with the refusal's code.
func (r *Refused) Error() string { return "the service refused with " + r.Code }

// Answer is a service's answer. Body is nil if BufferedBody holds the whole body. Close must be called.
type Answer struct {
	*conn.Response
	BufferedBody []byte
}

// PassedHeaders copies the headers that pass through. Attempts may share the copy, and it stays valid after fasthttp's request is
// released.
func PassedHeaders(h *fasthttp.RequestHeader) (out []Header) {
	for k, v := range h.AllInOrder() { // as they were sent: All has cookies that are parsed and written again
		if passesThrough(string(k)) {
			out = append(out, Header{string(k), string(v)})
		}
	}
	return out
}

// Do sends the call at most once. Errors are a *Refused or a *conn.Error.
func (c *Client) Do(addr string, v *Call) (*Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableSpecialHeader() // otherwise cookies are parsed and written again, and a media type is added
	for _, f := range v.Headers {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.SetMethod(v.Method)
	req.Header.SetRequestURI(v.URI)
	req.Header.Set(fasthttp.HeaderHost, addr)
	req.Header.Set("Shallot-Request", v.Request)
	if v.Trace != "" {
		req.Header.Set("traceparent", v.Trace)
	}
	req.Header.Set("Shallot-Deadline", strconv.FormatInt(int64(v.Left), 10))
	req.SetBodyRaw(v.Body)
	resp, err := c.Pool.Call(addr, req, conn.Options{ProgressTimeout: orDefault(c.ReadTimeout, 10*clock.Second), HeaderTimeout: v.Left, NewConn: v.NewConn})
	if err != nil {
		return nil, err
	}
	a := &Answer{Response: resp}
	switch resp.Status {
	case fasthttp.StatusConflict, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return a.refusalOrAnswer(addr)
	}
	return a, nil
}

// CopyHeader copies the headers that pass through to the response for the caller.
func (a *Answer) CopyHeader(to *fasthttp.ResponseHeader) {
	for k, b := range a.Header.All() {
		if passesThrough(string(k)) {
			to.AddBytesKV(k, b)
		}
	}
}

// maxRefusalBytes is the size limit of a refusal in bytes; a longer body is an answer.
const maxRefusalBytes = 16 << 10

// refusalOrAnswer distinguishes a refusal by the service itself from an answer with the same status.
func (a *Answer) refusalOrAnswer(addr string) (*Answer, error) {
	n := a.Header.ContentLength()
	if a.Body == nil || n > maxRefusalBytes || n < 0 {
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
	a.BufferedBody, a.Body = b, nil
	return a, nil
}

// passesThrough reports whether a header is passed on: hop-by-hop headers and those for the router itself are not.
func passesThrough(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "host", "content-length", "authorization", "expect",
		"shallot-request", "shallot-deadline", "shallot-rank", "shallot-session", "traceparent":
		return false
	}
	return true
}

func orDefault(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

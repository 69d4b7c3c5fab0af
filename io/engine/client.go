package engine

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/io/conn"
)

// Client calls model engines.
type Client struct {
	Pool        *conn.Pool
	IdleTimeout clock.Span // idle timeout of a stream: longest time without a token or a wait comment, 0 means 400 ms
	CallTimeout clock.Span // progress timeout of cancel and load calls, 0 means 400 ms
}

// GenerateRequest is the request of POST /v1/generate.
type GenerateRequest struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Prompt   string `json:"prompt"`
	Limit    int    `json:"limit,omitempty"` // most tokens to generate
	Priority int    `json:"priority"`        // rank of the request, 0 is the most urgent
	From     int    `json:"from,omitempty"`  // number of the last token that is not needed again
	Session  string `json:"session,omitempty"`
	Attach   bool   `json:"attach,omitempty"` // join a generation that the engine already has; the engine answers 404 if it has none
}

// Refused is a refusal by the engine itself, which states that the call did not run.
type Refused struct {
	Status  int
	Code    string        `json:"code"`
	Ran     *bool         `json:"ran"`
	Retry   clock.Span    `json:"retry,omitempty"`
	Leaving bool          `json:"leaving,omitempty"`
	Refusal *work.Refusal `json:"-"`
}

// Cancelled is the answer of POST /v1/cancel.
type Cancelled struct {
	Tokens int `json:"tokens"` // generated until the cancellation, 0 if the engine does not report it
}

// Errors of Generate besides [Refused].
var (
	// ErrNotFound means that the engine has no generation of the request that should be resumed.
	ErrNotFound = errors.New("the engine does not know the request")
	// ErrFailed means that the engine answered with an error that does not state that nothing ran.
	ErrFailed = errors.New("the engine failed")
)

// Error returns a text with the refusal's code.
func (r *Refused) Error() string { return "the engine refused with " + r.Code }

// Generate starts or resumes a generation. Left, the time until the request's deadline, is sent in Shallot-Deadline, trace in
// traceparent; 0 and "" are not sent. Errors are a *Refused, ErrNotFound, ErrFailed or a *conn.Error.
func (c *Client) Generate(addr string, g *GenerateRequest, left clock.Span, trace string) (*Stream, error) {
	req, err := post(addr, "/v1/generate", g)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseRequest(req)
	if left > 0 {
		req.Header.Set("Shallot-Deadline", itoa(int64(left)))
	}
	if trace != "" {
		req.Header.Set("traceparent", trace)
	}
	resp, err := c.Pool.Call(addr, req, conn.Options{ProgressTimeout: orDefault(c.IdleTimeout, 400), NewConn: g.Attempt > 1})
	if err != nil {
		return nil, err
	}
	if resp.Header.StatusCode() != fasthttp.StatusOK {
		return nil, c.refused(addr, resp)
	}
	if resp.Body == nil {
		resp.Close(false)
		return nil, &conn.Error{Addr: addr, Sent: true, Err: io.ErrUnexpectedEOF}
	}
	if h := resp.Header.Peek("Shallot-Request"); len(h) > 0 && string(h) != g.Request {
		resp.Close(false)
		return nil, &conn.Error{Addr: addr, Sent: true, Err: oops.Errorf("the answer belongs to another request")}
	}
	return newStream(addr, resp), nil
}

// Cancel ends a generation and returns the number of generated tokens.
func (c *Client) Cancel(addr, request, model, version string) (Cancelled, error) {
	var out Cancelled
	req, err := post(addr, "/v1/cancel", struct {
		Request string `json:"request"`
		Model   string `json:"model"`
		Version string `json:"version"`
	}{request, model, version})
	if err != nil {
		return out, err
	}
	defer fasthttp.ReleaseRequest(req)
	return out, c.callSmall(addr, req, &out)
}

// Load reads an engine's load report.
func (c *Client) Load(addr string) (work.Load, error) {
	var out work.Load
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/v1/load")
	return out, c.callSmall(addr, req, &out)
}

// maxAnswerBytes is the size limit of an answer that is not a stream, in bytes.
const maxAnswerBytes = 64 << 10

// callSmall makes a call whose answer is a small JSON document.
func (c *Client) callSmall(addr string, req *fasthttp.Request, out any) error {
	resp, err := c.Pool.Call(addr, req, conn.Options{ProgressTimeout: orDefault(c.CallTimeout, 400)})
	if err != nil {
		return err
	}
	b, err := readAll(resp)
	resp.Close(err == nil)
	if err != nil {
		return oops.Wrapf(err, "engine %s", addr)
	}
	if s := resp.Status; s != fasthttp.StatusOK {
		return oops.Errorf("engine %s answered with status %d", addr, s)
	}
	if len(b) == 0 {
		return nil
	}
	return oops.Wrapf(json.Unmarshal(b, out), "engine %s", addr)
}

// refused returns the error for an answer with a status other than 200.
func (c *Client) refused(addr string, resp *conn.Response) error {
	status := resp.Status
	b, err := readAll(resp)
	resp.Close(err == nil)
	if status == fasthttp.StatusNotFound || status == fasthttp.StatusGone {
		return ErrNotFound
	}
	r := &Refused{Status: status}
	if err == nil && json.Unmarshal(b, r) == nil && r.Ran != nil && !*r.Ran {
		return r
	}
	return oops.Wrapf(ErrFailed, "engine %s answered with status %d", addr, status)
}

func readAll(resp *conn.Response) ([]byte, error) {
	if resp.Body == nil {
		return nil, nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = oops.Errorf("the answer exceeds %d bytes", maxAnswerBytes)
	}
	return b, err
}

func post(addr, path string, body any) (*fasthttp.Request, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, oops.Wrapf(err, "engine call")
	}
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(b)
	return req, nil
}

func orDefault(s, def clock.Span) clock.Span {
	if s == 0 {
		return def
	}
	return s
}

package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
)

// defaultTimeout applies where Client.Timeout is 0.
const defaultTimeout = 2 * clock.Second

// request is one request to the API.
type request struct {
	method string
	path   string
	body   []byte
	result any        // where the JSON response is decoded, nil to ignore it
	wait   clock.Span // time that the platform may wait before it responds
}

// call sends the request once and decodes the response. The deadline is the client's timeout plus the wait, or that of
// ctx if it is earlier.
func (c *Client) call(ctx context.Context, r request) error {
	if err := ctx.Err(); err != nil {
		return &Unavailable{Cause: err}
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	deadline := time.Now().Add((timeout + r.wait).Std())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	host := c.sharedClient()
	if r.wait > 0 {
		h, done := c.newWatchClient(ctx)
		defer done()
		host = h
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI("http://" + c.Addr + r.path)
	if c.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	}
	if r.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(r.body)
	}
	c.calls.Add(1)
	if err := host.DoDeadline(req, resp, deadline); err != nil {
		return &Unavailable{MaybeSent: maybeSent(err), Cause: err}
	}
	return decodeResponse(resp, r.result)
}

// decodeResponse decodes a response into the value that into points to, unless into is nil. For an unusable response it
// returns one of the package's errors.
func decodeResponse(resp *fasthttp.Response, into any) error {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotFound:
		return ErrNotFound
	case status == fasthttp.StatusConflict:
		var o Object
		if err := json.Unmarshal(resp.Body(), &o); err != nil {
			return &Unavailable{MaybeSent: true, Cause: fmt.Errorf("a conflict without the current version: %w", err)}
		}
		return &Conflict{Version: o.Version}
	case status == fasthttp.StatusTooManyRequests:
		// If the header is missing or is not a number, the time is 0 and the caller chooses the wait.
		sec, _ := strconv.ParseFloat(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		return &RateLimited{RetryAfter: clock.Span(sec * float64(clock.Second))}
	case status < 200 || status > 299:
		return &Unavailable{MaybeSent: true, Cause: fmt.Errorf("status %d", status)}
	case into == nil:
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return &Unavailable{MaybeSent: true, Cause: err}
	}
	return nil
}

// maybeSent reports whether the request may have reached the platform despite the error.
func maybeSent(err error) bool {
	return !errors.Is(err, fasthttp.ErrNoFreeConns) && !errors.Is(err, fasthttp.ErrDialTimeout) && !dialFailed(err)
}

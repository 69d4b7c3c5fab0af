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

const defaultTimeout = 2 * clock.Second

// request is one call of the API.
type request struct {
	method string
	path   string
	body   []byte
	into   any        // receives the JSON response, nil ignores it
	wait   clock.Span // time that the platform may hold the call
}

// call sends the request once and reads the response.
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
	host := c.client()
	if r.wait > 0 {
		h, done := c.watchHost(ctx)
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
		return &Unavailable{Sent: sent(err), Cause: err}
	}
	return read(resp, r.into)
}

// read turns a response into a result or a typed error.
func read(resp *fasthttp.Response, into any) error {
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusNotFound:
		return ErrNotFound
	case status == fasthttp.StatusConflict:
		var o Object
		if err := json.Unmarshal(resp.Body(), &o); err != nil {
			return &Unavailable{Sent: true, Cause: fmt.Errorf("a conflict without the current version: %w", err)}
		}
		return &Conflict{Version: o.Version}
	case status == fasthttp.StatusTooManyRequests:
		// A missing or other form of the header leaves the choice of the wait to the caller.
		sec, _ := strconv.ParseFloat(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		return &Limited{Retry: clock.Span(sec * float64(clock.Second))}
	case status < 200 || status > 299:
		return &Unavailable{Sent: true, Cause: fmt.Errorf("status %d", status)}
	case into == nil:
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return &Unavailable{Sent: true, Cause: err}
	}
	return nil
}

// sent reports whether the request may have reached the platform.
func sent(err error) bool {
	return !errors.Is(err, fasthttp.ErrNoFreeConns) && !errors.Is(err, fasthttp.ErrDialTimeout) && !dialFailed(err)
}

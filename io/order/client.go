package order

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/work"
	"shallotrun/io/conn"
)

// Timeout is the longest time that one order may take. A controller that takes over the lease waits longer than this
// before its first order, so that no order of the previous holder is still in flight to an engine that ignores fencing
// tokens.
const Timeout = 4 * clock.Second

// dialTimeout bounds the time to open a connection, so that an unreachable engine does not use up the whole Timeout.
const dialTimeout = time.Second

// maxReply is the largest reply that is read, in bytes.
const maxReply = 64 << 10

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
	ActionRole   = "role"
)

// ErrStaleToken is returned if the engine has seen a higher fencing token.
var ErrStaleToken = errors.New("the engine refused an outdated fencing number")

// Order is the request to an engine. ID is its idempotency key: an engine executes each ID once, and sends the same reply
// to a repeated one.
type Order struct {
	FencingToken uint64 `json:"fence"`
	ID           string `json:"id"`
	Action       string `json:"action"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
}

// NotExecuted is returned if the engine replied that it did not execute the order.
type NotExecuted struct{ Code string }

// Client sends orders to engines. Its zero value is ready to use.
type Client struct {
	Source string // local IP address of the connections, "" for any

	once sync.Once
	http *fasthttp.Client
}

// Error includes the engine's code.
func (f *NotExecuted) Error() string {
	return fmt.Sprintf("the engine did not carry the order out: %q", f.Code)
}

// Send sends one order and waits for the reply until Timeout or timeout, whichever is shorter. It returns nil if the
// engine executed the order, ErrStaleToken or *NotExecuted if not, and any other error if the outcome is unknown.
func (c *Client) Send(addr string, o Order, timeout clock.Span) error {
	body, err := json.Marshal(o)
	if err != nil {
		return oops.Wrapf(err, "order")
	}
	status, reply, err := c.roundTrip(addr, "/v1/order", body, min(timeout, Timeout))
	if err != nil {
		return err
	}
	var r struct {
		Done bool   `json:"done"`
		Code string `json:"code"`
	}
	if err := json.Unmarshal(reply, &r); err != nil {
		return oops.Wrapf(err, "%s: status %d", addr, status)
	}
	switch {
	case status == fasthttp.StatusConflict && r.Code == "fence":
		return ErrStaleToken
	case status == fasthttp.StatusOK && r.Done:
		return nil
	case status == fasthttp.StatusOK, status >= 400 && status < 500:
		return &NotExecuted{Code: r.Code}
	default:
		return oops.Errorf("%s: status %d", addr, status)
	}
}

// Report reads an engine's load report, which lists the versions that are loaded.
func (c *Client) Report(addr string) (work.Load, error) {
	var l work.Load
	status, reply, err := c.roundTrip(addr, "/v1/load", nil, clock.Second)
	if err != nil {
		return l, err
	}
	if status != fasthttp.StatusOK {
		return l, oops.Errorf("%s: status %d", addr, status)
	}
	if err := json.Unmarshal(reply, &l); err != nil {
		return l, oops.Wrapf(err, "%s", addr)
	}
	return l, nil
}

// roundTrip sends one request, a POST if there is a body, and returns the status and the body of the reply.
func (c *Client) roundTrip(addr, path string, body []byte, timeout clock.Span) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.httpClient().DoTimeout(req, resp, timeout.Std()); err != nil {
		return 0, nil, oops.Wrapf(err, "%s", addr)
	}
	return resp.StatusCode(), append([]byte{}, resp.Body()...), nil
}

// httpClient returns the shared HTTP client. The library's retries are turned off, because a retry would send the order
// without checking that this controller still holds the lease.
func (c *Client) httpClient() *fasthttp.Client {
	c.once.Do(func() {
		c.http = &fasthttp.Client{
			Name:                      "shallotrun",
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:       maxReply,
			Dial: func(addr string) (net.Conn, error) {
				d := conn.Dialer(c.Source)
				d.Timeout = dialTimeout
				dialled, err := d.Dial("tcp", addr)
				if err != nil {
					return nil, err
				}
				return conn.CheckHeads(dialled), nil
			},
			MaxIdleConnDuration: time.Second, // short, so that a connection that no longer delivers anything is not reused
		}
	})
	return c.http
}

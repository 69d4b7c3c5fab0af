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

// Timeout is the deadline of one order. The wait after a takeover of the lease is longer, so that no order
// of the holder before is still under way at engines that ignore fencing numbers.
const Timeout = 4 * clock.Second

// dialTimeout bounds the opening of a connection, so that an engine that is gone does not use up the order's
// time.
const dialTimeout = time.Second

// maxReply is the largest reply that is read, in bytes.
const maxReply = 64 << 10

// Actions of an order.
const (
	Load   = "load"
	Unload = "unload"
	Role   = "role"
)

// ErrOutdated is returned when the engine has seen a higher fencing number.
var ErrOutdated = errors.New("the engine refused an outdated fencing number")

// Order is one order. An engine carries an id out once and repeats its reply.
type Order struct {
	Fence   uint64 `json:"fence"`
	ID      string `json:"id"`
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Failed is an engine's reply that the order was not carried out.
type Failed struct{ Code string }

// Client sends orders. Its zero value is ready.
type Client struct {
	Source string // IP address that connections leave from, "" for any

	once sync.Once
	http *fasthttp.Client
}

// Error names the engine's code.
func (f *Failed) Error() string {
	return fmt.Sprintf("the engine did not carry the order out: %q", f.Code)
}

// Send sends one order, which may use Timeout or the shorter limit. It returns ErrOutdated, *Failed, or
// another error where the outcome is not known.
func (c *Client) Send(addr string, o Order, limit clock.Span) error {
	body, err := json.Marshal(o)
	if err != nil {
		return oops.Wrapf(err, "order")
	}
	status, reply, err := c.do(addr, "/v1/order", body, min(limit, Timeout))
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
		return ErrOutdated
	case status == fasthttp.StatusOK && r.Done:
		return nil
	case status == fasthttp.StatusOK, status >= 400 && status < 500:
		return &Failed{Code: r.Code}
	default:
		return oops.Errorf("%s: status %d", addr, status)
	}
}

// Report reads an engine's load report, which lists the versions that it has loaded.
func (c *Client) Report(addr string) (work.Load, error) {
	var l work.Load
	status, reply, err := c.do(addr, "/v1/load", nil, clock.Second)
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

func (c *Client) do(addr, path string, body []byte, limit clock.Span) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.client().DoTimeout(req, resp, limit.Std()); err != nil {
		return 0, nil, oops.Wrapf(err, "%s", addr)
	}
	return resp.StatusCode(), append([]byte{}, resp.Body()...), nil
}

// client has the library's repetition off: a repeated order would be sent without asking for the lease.
func (c *Client) client() *fasthttp.Client {
	c.once.Do(func() {
		c.http = &fasthttp.Client{
			Name:                      "shallotrun",
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:       maxReply,
			Dial: func(addr string) (net.Conn, error) {
				d := conn.Dialer(c.Source)
				d.Timeout = dialTimeout
				return d.Dial("tcp", addr)
			},
			MaxIdleConnDuration: time.Second, // a connection that fell silent is not used again
		}
	})
	return c.http
}

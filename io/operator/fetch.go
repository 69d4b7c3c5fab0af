package operator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/io/conn"
)

// maxStatus is the largest status that is read, in bytes. A status with 340 peers and 3,800 servers has about 200 bytes
// for each of them.
const maxStatus = 4 << 20

// Fetch reads the status of the entry VM whose operator port is at addr. Without a deadline in ctx it takes up to 5 s.
func Fetch(ctx context.Context, addr string, user Login) (Status, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/status")
	user.setAuthorization(req)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(5 * time.Second)
	}
	host := &fasthttp.HostClient{Addr: addr, Dial: dial, MaxResponseBodySize: maxStatus, MaxIdemponentCallAttempts: 1}
	defer host.CloseIdleConnections()
	var s Status
	if err := host.DoDeadline(req, resp, deadline); err != nil {
		return s, oops.Wrapf(err, "%s", addr)
	}
	if resp.StatusCode() == fasthttp.StatusUnauthorized {
		return s, oops.Errorf("%s: the name or the token is not known there", addr)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return s, oops.Errorf("%s: status %d", addr, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return s, oops.Wrapf(err, "%s", addr)
	}
	return s, nil
}

// dial opens a connection to an operator port.
func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return conn.CheckHeads(c), nil
}

package rating

import (
	"encoding/json"
	"io"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/io/conn"
)

// Client requests ratings.
type Client struct {
	Addr string // IP:port
	Pool *conn.Pool
}

// Request is the body of POST /rate.
type Request struct {
	Request string `json:"request"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

// maxReplyBytes is the size limit of a reply in bytes.
const maxReplyBytes = 4 << 10

// Rate returns the rating of an answer in percent. The call ends within wait.
func (c *Client) Rate(q *Request, wait clock.Span) (int, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return 0, oops.Wrapf(err, "rating")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.Addr + "/rate")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(b)
	var abort conn.Abort
	defer time.AfterFunc(wait.Std(), abort.Abort).Stop()
	resp, err := c.Pool.Call(c.Addr, req, conn.Options{ProgressTimeout: wait, Abort: &abort})
	if err != nil {
		return 0, oops.Wrapf(err, "rating")
	}
	var v struct {
		Rating *int `json:"rating"`
	}
	status := resp.Status
	if status != fasthttp.StatusOK || resp.Body == nil {
		resp.Close(resp.Body == nil)
		return 0, oops.Errorf("rating service answered with status %d", status)
	}
	b, err = io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	resp.Close(err == nil)
	switch {
	case err != nil:
		return 0, oops.Wrapf(err, "rating")
	case json.Unmarshal(b, &v) != nil || v.Rating == nil || *v.Rating < 0 || *v.Rating > 100:
		return 0, oops.Errorf("rating service gave no rating from 0 to 100")
	}
	return *v.Rating, nil
}

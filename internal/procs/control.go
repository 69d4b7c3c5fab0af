package procs

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
)

// Get requests a path from an address and decodes the JSON answer into v. If v is nil, it only checks that the status is 200.
func Get(addr, path string, v any) error {
	b, err := call(fasthttp.MethodGet, addr, path, nil)
	if err != nil || v == nil {
		return err
	}
	return oops.Wrapf(json.Unmarshal(b, v), "GET %s%s", addr, path)
}

// Post sends v as JSON to a path of an address. Any status but 200 is an error.
func Post(addr, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = call(fasthttp.MethodPost, addr, path, b)
	return err
}

// SetFault sets a fault of a stand-in for the span: 0 lasts until it is cleared, a negative span clears it.
func SetFault(control, name string, value any, span clock.Span) error {
	return Post(control, "/fault", ledger.Fault{Fault: name, Value: value, For: span})
}

// ReadLedger reads the complete ledger of a stand-in.
func ReadLedger(control string) ([]ledger.Entry, error) {
	b, err := call(fasthttp.MethodGet, control, "/log", nil)
	if err != nil {
		return nil, err
	}
	es, err := ledger.ReadLog(b)
	return es, oops.Wrapf(err, "log of %s", control)
}

// waitFor polls f until it returns no error, for d at most, and returns the last error.
func waitFor(d time.Duration, f func() error) error {
	var err error
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}

// call sends a request, for 10 s at most, and returns a copy of the body of the answer. Any status but 200 is an error.
func call(method, addr, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetConnectionClose()
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		return nil, oops.Wrapf(err, "%s %s%s", method, addr, path)
	}
	if s := resp.StatusCode(); s != fasthttp.StatusOK {
		return nil, oops.Errorf("%s %s%s: status %d: %.200s", method, addr, path, s, resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

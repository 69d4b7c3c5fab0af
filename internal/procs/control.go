package procs

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/internal/standin/ledger"
)

// Get reads JSON from an address into v, or only checks that the answer is 200 if v is nil.
func Get(addr, path string, v any) error {
	b, err := do(fasthttp.MethodGet, addr, path, nil)
	if err != nil || v == nil {
		return err
	}
	return oops.Wrapf(json.Unmarshal(b, v), "GET %s%s", addr, path)
}

// Post sends JSON to an address.
func Post(addr, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = do(fasthttp.MethodPost, addr, path, b)
	return err
}

// Fault sets a fault of a stand-in; a negative span clears it.
func Fault(control, name string, value any, span clock.Span) error {
	return Post(control, "/fault", ledger.Fault{Fault: name, Value: value, For: span})
}

// Log reads the whole ledger of a stand-in.
func Log(control string) ([]ledger.Entry, error) {
	b, err := do(fasthttp.MethodGet, control, "/log", nil)
	if err != nil {
		return nil, err
	}
	es, err := ledger.ReadLog(b)
	return es, oops.Wrapf(err, "log of %s", control)
}

// wait polls until f gives no error, up to d. It returns the last error.
func wait(d time.Duration, f func() error) error {
	var err error
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}

func do(method, addr, path string, body []byte) ([]byte, error) {
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

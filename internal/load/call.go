package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// errDial means that no connection came about: nothing was sent.
var errDial = errors.New("connection refused")

// problem is a refusal as RFC 9457 writes it.
type problem struct {
	Code    string `json:"code"`
	Ran     string `json:"ran"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// reply is the head of a response, with its body still to be read.
type reply struct {
	status  int
	request string
	model   string
	session string
	body    io.Reader
	conn    *progress
}

// call sends one request on a new connection. A new connection tells a refused request (no connection)
// from a broken one (a connection that closed).
func call(addr string, req *fasthttp.Request, stall time.Duration) (*reply, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, errDial
	}
	w := &progress{Conn: c, stall: stall}
	bw := bufio.NewWriter(w)
	if err := errors.Join(req.Write(bw), bw.Flush()); err != nil {
		c.Close()
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true}
	if err := resp.Read(bufio.NewReader(w)); err != nil {
		c.Close()
		return nil, err
	}
	r := &reply{
		status: resp.StatusCode(), conn: w, body: resp.BodyStream(),
		request: string(resp.Header.Peek("Shallot-Request")), model: string(resp.Header.Peek("Shallot-Model")),
		session: string(resp.Header.Peek("Shallot-Session")),
	}
	if resp.BodyStream() == nil {
		r.body = bytes.NewReader(resp.Body())
	}
	return r, nil
}

// refused reads a problem details object into the record. It reports false if the body is none.
func (r *reply) refused(rec *Record) bool {
	b, err := io.ReadAll(io.LimitReader(r.body, 1<<20))
	if err != nil {
		return false
	}
	var p problem
	if json.Unmarshal(b, &p) != nil || p.Code == "" {
		return false
	}
	rec.Outcome, rec.Status, rec.Code, rec.Ran, rec.Error = Refused, r.status, p.Code, p.Ran, p.Detail
	if r.request == "" {
		r.request = p.Request
	}
	return true
}

// progress is a connection whose reads fail when nothing arrives for the stall time.
type progress struct {
	net.Conn
	stall time.Duration
}

// Read implements [net.Conn].
func (p *progress) Read(b []byte) (int, error) {
	if err := p.SetReadDeadline(time.Now().Add(p.stall)); err != nil {
		return 0, err
	}
	return p.Conn.Read(b)
}

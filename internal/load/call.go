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

	"shallotrun/io/conn"
)

// errDial means that no connection was established, so that nothing was sent.
var errDial = errors.New("connection refused")

// problem is a problem details object (RFC 9457), the body of a refusal.
type problem struct {
	Code    string `json:"code"`
	Ran     string `json:"ran"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// response is an HTTP response whose head was read and whose body is still to be read.
type response struct {
	status       int
	requestID    string
	model        string
	sessionToken string
	body         io.Reader
	conn         *timeoutConn
}

// call sends one request on a new connection and reads the head of the response. With a new connection for each call, a refused
// connection (errDial) can be told from one that broke after the request was sent. The connection fails when nothing is received
// for idleTimeout, and when the head of the response is invalid; the caller of call closes it.
func call(addr string, req *fasthttp.Request, idleTimeout time.Duration) (*response, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, errDial
	}
	w := &timeoutConn{Conn: conn.CheckHeads(c), idleTimeout: idleTimeout}
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
	r := &response{
		status: resp.StatusCode(), conn: w, body: resp.BodyStream(),
		requestID: string(resp.Header.Peek("Shallot-Request")), model: string(resp.Header.Peek("Shallot-Model")),
		sessionToken: string(resp.Header.Peek("Shallot-Session")),
	}
	if resp.BodyStream() == nil {
		r.body = bytes.NewReader(resp.Body())
	}
	return r, nil
}

// readRefusal reads a problem details object into the record. It reports false if the body is not one.
func (r *response) readRefusal(rec *Record) bool {
	b, err := io.ReadAll(io.LimitReader(r.body, 1<<20))
	if err != nil {
		return false
	}
	var p problem
	if json.Unmarshal(b, &p) != nil || p.Code == "" {
		return false
	}
	rec.Outcome, rec.Status, rec.Code, rec.Ran, rec.Error = Refused, r.status, p.Code, p.Ran, p.Detail
	if r.requestID == "" {
		r.requestID = p.Request
	}
	return true
}

// timeoutConn is a connection whose reads fail when nothing is received for idleTimeout.
type timeoutConn struct {
	net.Conn
	idleTimeout time.Duration
}

// Read implements [net.Conn].
func (c *timeoutConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

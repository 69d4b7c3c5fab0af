package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/io/conn"
)

// Guards against a fast path for simple tokens that differs from the JSON decoder, which would change an answer or pass
// invalid JSON on to callers.
func TestSimpleTokenEqualsDecoder(t *testing.T) {
	for _, c := range []string{
		`{"text":" harbor"}`, `{"text":""}`, `{"text":"a\"b"}`, `{"text":"a\nb"}`, `{"text":"é"}`, `{"text":"a","x":"b"}`,
		`{"text":"a"b"}`, `{"text":"a\"}`, `{"text":"\"}`, `{"text":"` + "\x01" + `"}`, `{"text":1}`, `{"text":"a"} `, `{"text":"`, `{"text":"}`, `{}`,
	} {
		s := &Stream{br: bufio.NewReader(strings.NewReader("id: 1\ndata: " + c + "\n\n"))}
		var ev Event
		err := s.next(&ev)
		var v struct{ Text *string }
		want := json.Unmarshal([]byte(c), &v) == nil && v.Text != nil
		assert.Equal(t, err == nil, want, c)
		if want {
			var got string
			assert.NilError(t, json.Unmarshal(ev.Text, &got), c)
			assert.Equal(t, got, *v.Text)
		}
	}
}

// Guards against malformed events that are taken for a token or an end.
func TestBadEvents(t *testing.T) {
	for _, c := range []string{
		"data: {\"text\":\"a\"}\n\n", "id: 0\ndata: {\"text\":\"a\"}\n\n", "id: x\ndata: {\"text\":\"a\"}\n\n",
		"id: 1\ndata: {\"text\":\"a\"}\n", "event: other\ndata: {}\n\n", "id: 1\ndata: " + strings.Repeat("a", MaxEventBytes) + "\n\n",
		strings.Repeat("x: y\n", MaxEventBytes/4),
	} {
		s := &Stream{br: bufio.NewReader(strings.NewReader(c))}
		var ev Event
		assert.Check(t, s.next(&ev) != nil, "%.40q", c)
	}
}

// Guards against an oversized answer that fills the memory, and against an error that is taken for a refusal although it
// lacks "ran": false.
func TestAnswersOfEngines(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		fails  bool // Load must return an error
		own    bool // Generate must return a *Refused
	}{
		{200, `{"running":3,"slots":8}`, false, false},
		{200, `{"running":3,"slots":8,"x":"` + strings.Repeat("a", maxAnswerBytes) + `"}`, true, false},
		{200, `{`, true, false},
		{503, `{"code":"full","ran":false}`, true, true},
		{503, `{"code":"full"}`, true, false},
		{503, `{"code":"full","ran":true}`, true, false},
		{500, `{"code":"failed","ran":true}`, true, false},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(c.status)
			ctx.SetBodyString(c.body)
		}}
		go func() { _ = s.Serve(ln) }()
		e := &Client{Pool: &conn.Pool{}}
		l, err := e.Load(ln.Addr().String())
		assert.Equal(t, err != nil, c.fails, "%d %.20s", c.status, c.body)
		assert.Check(t, c.fails || l.Running == 3)
		_, err = e.Generate(ln.Addr().String(), &GenerateRequest{Request: "r", Attempt: 1}, 0, "")
		var own *Refused
		assert.Equal(t, errors.As(err, &own), c.own, "%d %.20s", c.status, c.body)
		e.Pool.Close()
		assert.NilError(t, s.Shutdown())
	}
}

// Guards against an answer of an engine with a malformed name of a field that is taken for a sound one: a stream, a refusal that says that
// nothing ran, a load report, or the end of a generation.
func TestMalformedField(t *testing.T) {
	answer := func(head, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX Zz: odd\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for _, c := range []struct {
		text string
		call func(e *Client, addr string) error
	}{
		{answer("200 OK", "id: 1\ndata: {\"text\":\"a\"}\n\n"), generate},
		{answer("503 X", `{"code":"full","ran":false}`), generate},
		{answer("404 X", `{}`), generate},
		{answer("200 OK", `{"running":3,"slots":8}`), func(e *Client, addr string) error { _, err := e.Load(addr); return err }},
		{answer("200 OK", `{"tokens":3}`), func(e *Client, addr string) error { _, err := e.Cancel(addr, "r", "m", "1"); return err }},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			if conn, err := ln.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte(c.text))
			}
		}()
		e := &Client{Pool: &conn.Pool{}}
		assert.ErrorIs(t, c.call(e, ln.Addr().String()), conn.ErrField, c.text)
		e.Pool.Close()
		_ = ln.Close()
	}
}

func generate(e *Client, addr string) error {
	_, err := e.Generate(addr, &GenerateRequest{Request: "r", Attempt: 1}, 0, "")
	return err
}

package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/samber/oops"

	"shallotrun/io/conn"
)

// Kinds of event.
const (
	EventWaiting Kind = iota // the request waits in the engine's queue
	EventToken               // one token
	EventEnd                 // the generation ended
)

// MaxEventBytes is the size limit of one event, in bytes.
const MaxEventBytes = 64 << 10

// Kind is the kind of an event.
type Kind uint8

// Finish reasons of a complete text.
const (
	ReasonStop   = "stop"
	ReasonLength = "length"
)

// Event is one event of a generation. Text is valid until the next call of Next.
type Event struct {
	Kind             Kind
	TokenNumber      int             // counted from 1
	Text             json.RawMessage // the text as a JSON string
	CompletionTokens int             // EventEnd only
	PromptTokens     int             // EventEnd only
	Reason           string          // ReasonStop, ReasonLength, or why the text is incomplete; EventEnd only
}

// Stream reads the events of one attempt at a generation. Close must be called.
type Stream struct {
	addr  string
	resp  *conn.Response
	br    *bufio.Reader
	data  []byte
	ended bool
}

// Next reads the next event. Errors are a *conn.Error and end the attempt.
func (s *Stream) Next(ev *Event) error {
	if err := s.next(ev); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // a complete stream ends with an end event
		}
		return &conn.Error{Addr: s.addr, Sent: true, Err: conn.Cause(err)}
	}
	return nil
}

// Buffered reports whether more of the stream can be read without blocking.
func (s *Stream) Buffered() bool { return s.br.Buffered() > 0 || s.resp.Buffered() > 0 }

// Close ends the attempt. The connection is reused only if the end event and the end of the body were read.
func (s *Stream) Close() {
	if s.resp == nil {
		return
	}
	whole := false
	if s.ended && s.br.Buffered() == 0 {
		n, err := s.resp.Body.Read(make([]byte, 1))
		whole = n == 0 && errors.Is(err, io.EOF)
	}
	s.resp.Close(whole)
	s.resp = nil
}

func newStream(addr string, resp *conn.Response) *Stream {
	return &Stream{addr: addr, resp: resp, br: bufio.NewReaderSize(resp.Body, 1024)}
}

var (
	fieldID    = []byte("id:")
	fieldData  = []byte("data:")
	fieldEvent = []byte("event:")
)

func (s *Stream) next(ev *Event) error {
	*ev = Event{Text: ev.Text[:0]}
	s.data = s.data[:0]
	kind, size := "", 0
	for {
		line, err := s.line()
		if err != nil {
			return err
		}
		if size += len(line); size > MaxEventBytes {
			return oops.Errorf("event exceeds %d bytes", MaxEventBytes)
		}
		switch {
		case len(line) == 0:
			if len(s.data) > 0 {
				return s.parse(ev, kind)
			}
		case line[0] == ':':
			ev.Kind = EventWaiting
			return nil
		case bytes.HasPrefix(line, fieldID):
			if ev.TokenNumber, err = strconv.Atoi(string(bytes.TrimSpace(line[len(fieldID):]))); err != nil {
				return oops.Wrapf(err, "event id")
			}
		case bytes.HasPrefix(line, fieldData):
			s.data = append(s.data, bytes.TrimSpace(line[len(fieldData):])...)
		case bytes.HasPrefix(line, fieldEvent):
			kind = string(bytes.TrimSpace(line[len(fieldEvent):]))
		}
	}
}

// line reads one line without its end.
func (s *Stream) line() ([]byte, error) {
	b, err := s.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := bytes.Clone(b)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(long) > MaxEventBytes {
				return nil, oops.Errorf("event exceeds %d bytes", MaxEventBytes)
			}
			b, err = s.br.ReadSlice('\n')
			long = append(long, b...)
		}
		b = long
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(b, "\r\n"), nil
}

func (s *Stream) parse(ev *Event, kind string) error {
	if text, ok := simpleToken(s.data); ok && kind == "" && ev.TokenNumber > 0 {
		ev.Kind, ev.Text = EventToken, append(ev.Text, text...)
		return nil
	}
	var v struct {
		Text   json.RawMessage `json:"text"`
		Tokens int             `json:"tokens"`
		Prompt int             `json:"prompt"`
		Reason string          `json:"reason"`
	}
	if err := json.Unmarshal(s.data, &v); err != nil {
		return oops.Wrapf(err, "event data")
	}
	switch kind {
	case "end":
		s.ended = true
		ev.Kind, ev.CompletionTokens, ev.PromptTokens, ev.Reason = EventEnd, v.Tokens, v.Prompt, v.Reason
	case "":
		if ev.TokenNumber < 1 || len(v.Text) < 2 || v.Text[0] != '"' {
			return oops.Errorf("token event without a number or text")
		}
		ev.Kind, ev.Text = EventToken, v.Text
	default:
		return oops.Errorf("unknown event %q", kind)
	}
	return nil
}

// simpleToken returns the text of {"text":"..."} as a JSON string if the text is printable ASCII without escapes. This is true
// of nearly all tokens, and the check takes a tenth of the time of a JSON decoder.
func simpleToken(b []byte) ([]byte, bool) {
	const head, tail = `{"text":"`, `"}`
	if len(b) < len(head)+len(tail) || string(b[:len(head)]) != head || string(b[len(b)-len(tail):]) != tail {
		return nil, false
	}
	for _, c := range b[len(head) : len(b)-len(tail)] {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return nil, false
		}
	}
	return b[len(head)-1 : len(b)-1], true
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Complete reports whether an EventEnd ends a complete text. Every reason other than ReasonStop and ReasonLength is taken as a
// truncation, because a truncated answer that is presented as complete can't be detected later.
func (e *Event) Complete() bool { return e.Reason == ReasonStop || e.Reason == ReasonLength }

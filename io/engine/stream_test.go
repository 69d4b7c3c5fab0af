package engine

import (
	"bufio"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a short way for plain tokens that reads something else than the JSON decoder, which would
// change an answer or let invalid JSON through to callers.
func TestPlainTokenEqualsDecoder(t *testing.T) {
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

// Guards against events that are taken for tokens or for an end although they are neither.
func TestBadEvents(t *testing.T) {
	for _, c := range []string{
		"data: {\"text\":\"a\"}\n\n", "id: 0\ndata: {\"text\":\"a\"}\n\n", "id: x\ndata: {\"text\":\"a\"}\n\n",
		"id: 1\ndata: {\"text\":\"a\"}\n", "event: other\ndata: {}\n\n", "id: 1\ndata: " + strings.Repeat("a", Limit) + "\n\n",
		strings.Repeat("x: y\n", Limit/4),
	} {
		s := &Stream{br: bufio.NewReader(strings.NewReader(c))}
		var ev Event
		assert.Check(t, s.next(&ev) != nil, "%.40q", c)
	}
}

package document

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// Lines returns the line of each value of a document by its path, as in Fault, from 1 on. Where the bytes are not JSON, the lines up to there
// are returned.
func Lines(raw []byte) map[string]int {
	s := &lineScanner{raw: raw, dec: json.NewDecoder(bytes.NewReader(raw)), line: 1, lines: make(map[string]int)}
	s.dec.UseNumber()
	_ = s.value("", 0) // the parser reports what is wrong
	return s.lines
}

// lineScanner walks through the tokens of a document.
type lineScanner struct {
	raw     []byte
	dec     *json.Decoder
	counted int // bytes up to which line is counted
	line    int
	lines   map[string]int
}

// token returns the next token.
func (s *lineScanner) token() (json.Token, error) {
	tok, err := s.dec.Token()
	at := int(s.dec.InputOffset())
	s.line += bytes.Count(s.raw[s.counted:at], []byte{'\n'})
	s.counted = at
	return tok, err
}

func (s *lineScanner) value(path string, depth int) error {
	tok, err := s.token()
	if err != nil || depth > MaxNesting {
		return err
	}
	s.lines[path] = s.line
	switch tok {
	case json.Delim('{'):
		return s.object(path, depth)
	case json.Delim('['):
		return s.array(path, depth)
	}
	return nil
}

func (s *lineScanner) object(path string, depth int) error {
	for s.dec.More() {
		tok, err := s.token()
		if err != nil {
			return err
		}
		name, _ := tok.(string) // keys are strings
		if err := s.value(join(path, name), depth+1); err != nil {
			return err
		}
	}
	_, err := s.token()
	return err
}

func (s *lineScanner) array(path string, depth int) error {
	for i := 0; s.dec.More(); i++ {
		if err := s.value(path+"["+strconv.Itoa(i)+"]", depth+1); err != nil {
			return err
		}
	}
	_, err := s.token()
	return err
}

// Parent returns the path of the value around that at a path, "" for the document.
func Parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// scanner checks the tokens of a document against the type that they are decoded to. The JSON decoder alone reports neither
// the position of an unknown field nor a duplicate field, and it ignores the case of field names.
type scanner struct {
	dec    *json.Decoder
	faults Faults
}

// Parse decodes and validates a document. The error is of type [Faults] and holds every fault that was found.
func Parse(raw []byte) (*Document, error) {
	if len(raw) > MaxBytes {
		return nil, Faults{{Text: fmt.Sprintf("%d bytes, at most %d are allowed", len(raw), MaxBytes)}}
	}
	if d := parseCompact(raw); d != nil {
		return validated(d)
	}
	s := &scanner{dec: json.NewDecoder(bytes.NewReader(raw))}
	s.dec.UseNumber()
	if err := s.value("", reflect.TypeFor[Document](), 0); err != nil {
		return nil, append(s.faults, Fault{Text: fmt.Sprintf("not JSON at byte %d: %v", s.dec.InputOffset(), err)})
	}
	if _, err := s.dec.Token(); !errors.Is(err, io.EOF) {
		s.fault("", "something follows the document")
	}
	if len(s.faults) > 0 {
		return nil, s.faults
	}
	d := new(Document)
	if err := json.Unmarshal(raw, d); err != nil {
		return nil, Faults{{Text: err.Error()}}
	}
	return validated(d)
}

// parseCompact decodes a document that is in its compact form, in which this project stores it, and returns nil for any other
// bytes. Encoding it again and comparing the bytes proves that no field is unknown, duplicate, in another case or null by
// mistake, at a fraction of the cost of the scanner.
func parseCompact(raw []byte) *Document {
	d := new(Document)
	if json.Unmarshal(raw, d) != nil {
		return nil
	}
	if again, err := json.Marshal(d); err != nil || !bytes.Equal(raw, again) {
		return nil
	}
	return d
}

// validated returns the document if it is valid, else its faults.
func validated(d *Document) (*Document, error) {
	if faults := Validate(d); len(faults) > 0 {
		return nil, Faults(faults)
	}
	return d, nil
}

// Compact returns the document's compact JSON and the hex xxhash of it. The hash is computed from these bytes and not from
// those received, because the platform's store may return a value with other white space.
func Compact(d *Document) (raw []byte, digest string, err error) {
	raw, err = json.Marshal(d)
	if err != nil {
		return nil, "", err
	}
	return raw, fmt.Sprintf("%016x", xxhash.Sum64(raw)), nil
}

// Format returns the indented JSON of a document that the operator command and the console show.
func Format(d *Document) ([]byte, error) {
	raw, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(raw, '\n'), nil
}

func (s *scanner) fault(path, format string, args ...any) {
	s.faults = append(s.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

// value checks one value against its type t, nil below an unknown field. It returns an error only if the bytes are not JSON
// or nested too deeply; other faults are recorded.
func (s *scanner) value(path string, t reflect.Type, depth int) error {
	if depth > MaxNesting {
		return fmt.Errorf("nested deeper than %d", MaxNesting)
	}
	tok, err := s.dec.Token()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if t != nil && !matches(tok, t) {
		s.fault(path, "want %s, got %s", kindName(t), tokenName(tok))
		t = nil
	}
	switch tok {
	case json.Delim('{'):
		return s.object(path, t, depth)
	case json.Delim('['):
		return s.array(path, t, depth)
	}
	return nil
}

func (s *scanner) object(path string, t reflect.Type, depth int) error {
	seen := map[string]bool{}
	for s.dec.More() {
		tok, err := s.dec.Token()
		if err != nil {
			return err
		}
		name, ok := tok.(string)
		if !ok {
			return fmt.Errorf("a field name is not a string")
		}
		at := join(path, name)
		if seen[name] {
			s.fault(at, "the field occurs twice")
		}
		seen[name] = true
		var ft reflect.Type
		if t != nil {
			if ft = fieldType(t, name); ft == nil {
				s.fault(at, "unknown field")
			}
		}
		if err := s.value(at, ft, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *scanner) array(path string, t reflect.Type, depth int) error {
	var et reflect.Type
	if t != nil {
		et = t.Elem()
	}
	for i := 0; s.dec.More(); i++ {
		if err := s.value(path+"["+strconv.Itoa(i)+"]", et, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

// fieldType returns the type of the field with exactly this JSON name, nil if there is no such field.
func fieldType(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type
		}
	}
	return nil
}

// matches reports whether a token can begin a value of type t.
func matches(tok json.Token, t reflect.Type) bool {
	switch v := tok.(type) {
	case json.Delim:
		return v == '{' && t.Kind() == reflect.Struct || v == '[' && t.Kind() == reflect.Slice
	case string:
		return t.Kind() == reflect.String
	case bool:
		return t.Kind() == reflect.Bool
	case json.Number:
		_, err := strconv.ParseInt(v.String(), 10, 64)
		return t.Kind() == reflect.Int && err == nil
	default: // null, which the encoder writes for a nil list
		return t.Kind() == reflect.Slice
	}
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Int:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}

func tokenName(tok json.Token) string {
	switch v := tok.(type) {
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return "the number " + v.String()
	case nil:
		return "null"
	default:
		return fmt.Sprint(v)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

package operator

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"shallotrun/core/document"
)

// Kinds of form fields.
const (
	kindText   = "text"
	kindNumber = "number"
	kindList   = "list" // one entry a line
	kindSelect = "select"
	kindCheck  = "check"
)

// group is one entry of a section, for example one route. The last group of a section is empty and adds an
// entry when its name is filled in.
type group struct {
	Title  string
	Fields []*field
}

// field is one input. The pointers say which part of the document it fills; exactly one of them is set.
type field struct {
	Name    string // in the form
	Label   string
	Kind    string
	Options []string

	text   *string
	number *int
	list   *[]string
	check  *bool
}

// form builds the fields of a document for display and for reading back.
type form struct {
	groups []*group
	prefix string
}

// Value returns the content of the field for display.
func (f *field) Value() string {
	switch {
	case f.text != nil:
		return *f.text
	case f.number != nil:
		return strconv.Itoa(*f.number)
	case f.list != nil:
		return strings.Join(*f.list, "\n")
	}
	return ""
}

// Checked reports whether a check box is set.
func (f *field) Checked() bool { return f.check != nil && *f.check }

// read fills the document from the form. It returns a fault for a number that is none.
func (f *field) read(v url.Values) *document.Fault {
	s := strings.TrimSpace(strings.ReplaceAll(v.Get(f.Name), "\r\n", "\n"))
	switch {
	case f.text != nil:
		*f.text = s
	case f.list != nil:
		*f.list = lines(s)
	case f.check != nil:
		*f.check = s != ""
	case f.number != nil:
		n, err := strconv.Atoi(s)
		if err != nil && s != "" {
			return &document.Fault{Path: f.Name, Text: fmt.Sprintf("%q is not a whole number", s)}
		}
		*f.number = n
	}
	return nil
}

func (b *form) group(title, prefix string) {
	b.groups = append(b.groups, &group{Title: title})
	b.prefix = prefix
}

func (b *form) add(f *field, name, label, kind string, options ...string) {
	f.Name, f.Label, f.Kind, f.Options = b.prefix+"."+name, label, kind, options
	g := b.groups[len(b.groups)-1]
	g.Fields = append(g.Fields, f)
}

func (b *form) text(p *string, name, label string) { b.add(&field{text: p}, name, label, kindText) }

func (b *form) number(p *int, name, label string) { b.add(&field{number: p}, name, label, kindNumber) }

func (b *form) list(p *[]string, name, label string) { b.add(&field{list: p}, name, label, kindList) }

func (b *form) check(p *bool, name, label string) { b.add(&field{check: p}, name, label, kindCheck) }

// choose offers the options, and the present value where it is none of them, so that showing and sending a
// form changes nothing.
func (b *form) choose(p *string, name, label string, options ...string) {
	if !slices.Contains(options, *p) {
		options = append(options, *p)
	}
	b.add(&field{text: p}, name, label, kindSelect, options...)
}

func lines(s string) []string {
	var out []string
	for l := range strings.SplitSeq(s, "\n") {
		if l = strings.TrimSpace(l); l != "" {
			out = append(out, l)
		}
	}
	return out
}

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
	kindList   = "list" // one entry per line
	kindSelect = "select"
	kindCheck  = "check"
)

// group is the fields of one entry of a section, for example one route. The last group of a list is empty; filling in its
// name adds an entry.
type group struct {
	Title  string
	Fields []*field
}

// field is one input of a form. Exactly one of the pointers is set, to the part of the document that the field shows and
// changes.
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

// formBuilder collects the fields for a document, both to display a form and to read a submitted one.
type formBuilder struct {
	groups []*group
	prefix string // of the names of the fields in the last group
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

// read copies the submitted value into the document. It returns a fault if a number is not a whole number.
func (f *field) read(v url.Values) *document.Fault {
	s := strings.TrimSpace(strings.ReplaceAll(v.Get(f.Name), "\r\n", "\n"))
	switch {
	case f.text != nil:
		*f.text = s
	case f.list != nil:
		*f.list = nonEmptyLines(s)
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

// group starts a new group, to which the following fields are added.
func (b *formBuilder) group(title, prefix string) {
	b.groups = append(b.groups, &group{Title: title})
	b.prefix = prefix
}

func (b *formBuilder) add(f *field, name, label, kind string, options ...string) {
	f.Name, f.Label, f.Kind, f.Options = b.prefix+"."+name, label, kind, options
	g := b.groups[len(b.groups)-1]
	g.Fields = append(g.Fields, f)
}

func (b *formBuilder) text(p *string, name, label string) {
	b.add(&field{text: p}, name, label, kindText)
}

func (b *formBuilder) number(p *int, name, label string) {
	b.add(&field{number: p}, name, label, kindNumber)
}

func (b *formBuilder) list(p *[]string, name, label string) {
	b.add(&field{list: p}, name, label, kindList)
}

func (b *formBuilder) check(p *bool, name, label string) {
	b.add(&field{check: p}, name, label, kindCheck)
}

// selectOne adds a field with the options, and with the present value if it is not among them, so that submitting an
// unchanged form changes nothing.
func (b *formBuilder) selectOne(p *string, name, label string, options ...string) {
	if !slices.Contains(options, *p) {
		options = append(options, *p)
	}
	b.add(&field{text: p}, name, label, kindSelect, options...)
}

func nonEmptyLines(s string) []string {
	var out []string
	for l := range strings.SplitSeq(s, "\n") {
		if l = strings.TrimSpace(l); l != "" {
			out = append(out, l)
		}
	}
	return out
}

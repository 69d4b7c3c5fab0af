package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"html/template"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

// callTimeout bounds the requests to the platform for one page.
const callTimeout = 10 * time.Second

// view holds the values for the template.
type view struct {
	Title    string
	Person   Person
	CSRF     string
	Sections []section
	Section  *section
	Groups   []*group
	Fleet    *Fleet
	Status   *Status
	Rollouts []rollout
	Message  string
	Faults   []document.Fault
	Ours     []document.Change
	Theirs   []document.Change
	Both     []string // paths that both changes modify
	Base     string   // JSON of the document on which the change is based
	Revision uint64   // revision of Base
	Mine     string   // JSON of the changed document
	Text     string   // document as editable text
	Note     string
	Apply    bool // show the button that applies the change
}

// rollout is a row in the list of versions. The list has every version that is not withdrawn and every halted one.
type rollout struct {
	Model, Version, State string
	Share                 int
	Halt                  string
	Since                 clock.Time
}

// CanChange reports whether the operator may submit forms.
func (v view) CanChange() bool { return v.Person.Right == RightChange }

// servePage serves a GET request.
func (s *Server) servePage(ctx *fasthttp.RequestCtx, p Person, path string) {
	v := s.view(p)
	x := sectionOf(path)
	switch {
	case path == "":
		s.overview(&v)
	case x != nil || path == "document":
		call, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		base, err := s.Backend.Read(call)
		if err == nil && base.Document == nil && x != nil {
			err = errors.New("there is no document yet; enter the first one on the page Document")
		}
		if err != nil {
			v.Title, v.Message = "No document", "The document cannot be read from the platform: "+err.Error()
		}
		// A stored document that is not valid has a revision, and can be replaced on the page Document.
		if err != nil && (x != nil || base.Revision == 0) {
			break
		}
		s.edit(&v, x, base, base.Document)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s.render(ctx, v)
}

func (s *Server) view(p Person) view {
	return view{Person: p, CSRF: s.formToken(p, s.formTokenPeriod()), Sections: sections}
}

func (s *Server) overview(v *view) {
	st := s.Backend.Status()
	f := MergeStatuses([]Status{st}, s.Clock.Wall())
	v.Title, v.Fleet, v.Status = "In force", &f, &st
	if snap := s.Backend.Current(); snap != nil {
		v.Rollouts = rolloutsOf(snap.Document, st.Halts)
	}
}

// edit shows the form of a section, or the whole document as text if x is nil. Form and text have the values of shown; a
// change is based on base.
func (s *Server) edit(v *view, x *section, base document.Snapshot, shown *document.Document) {
	v.Revision, v.Base = base.Revision, compactJSON(base.Document)
	v.Section = x
	if x == nil {
		v.Title = "Document"
		if shown != nil {
			if raw, err := document.Format(shown); err == nil {
				v.Text = string(raw)
			}
		}
		return
	}
	v.Title = x.Title
	if d, err := shown.Clone(); err == nil {
		v.Groups = x.showForm(d)
	}
}

// servePost serves a submitted form: the preview of a change, or applying one.
func (s *Server) servePost(ctx *fasthttp.RequestCtx, p Person, path string) {
	args, err := url.ParseQuery(string(ctx.PostBody()))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	v := s.view(p)
	v.Note = args.Get("note")
	switch path {
	case "preview":
		s.preview(&v, args)
	case "apply":
		s.applyChange(&v, args)
	case "version":
		s.previewVersion(&v, args)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s.render(ctx, v)
}

// preview shows the changes that a form makes to the document, without storing them.
func (s *Server) preview(v *view, args url.Values) {
	base, err := parseBase(args)
	if err != nil {
		v.Title, v.Message = "Not readable", err.Error()
		return
	}
	x := sectionOf(args.Get("section"))
	var mine *document.Document
	var faults []document.Fault
	if x == nil {
		mine, err = document.Parse([]byte(args.Get("text")))
		if err != nil {
			v.Title, v.Text, v.Message = "Document", args.Get("text"), "The document is not valid."
			v.Revision, v.Base = base.Revision, compactJSON(base.Document)
			v.Faults = faultsOf(err)
			return
		}
	} else {
		if base.Document == nil {
			v.Title, v.Message = "No document", "The form has no document to change."
			return
		}
		if mine, err = base.Document.Clone(); err != nil {
			v.Title, v.Message = "Not readable", err.Error()
			return
		}
		faults = x.readForm(mine, args)
	}
	mine.Author, mine.Note = v.Person.Name, v.Note
	if faults = append(faults, document.Validate(mine)...); len(faults) > 0 {
		s.edit(v, x, base, mine)
		v.Message, v.Faults = "The change is not valid.", faults
		return
	}
	v.showPreview(base, mine)
}

// previewVersion shows the changes that withdraw or drain one version, for the buttons of the first page.
func (s *Server) previewVersion(v *view, args url.Values) {
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	base, err := s.Backend.Read(call)
	if err == nil && base.Document == nil {
		err = errors.New("there is no document yet")
	}
	var mine *document.Document
	if err == nil {
		mine, err = base.Document.Clone()
	}
	model, name := args.Get("model"), args.Get("version")
	if err == nil {
		if args.Get("action") == "drain" {
			err = mine.Drain(model, name, args.Get("promote"))
		} else {
			err = mine.Withdraw(model, name, args.Get("promote"))
		}
	}
	if err != nil {
		v.Title, v.Message = "Not done", err.Error()
		return
	}
	mine.Author, mine.Note = v.Person.Name, v.Note
	if faults := document.Validate(mine); len(faults) > 0 {
		s.edit(v, sectionOf("rollouts"), base, mine)
		v.Message, v.Faults = "The change is not valid alone; complete it here.", faults
		return
	}
	v.showPreview(base, mine)
}

// applyChange stores a previewed change.
func (s *Server) applyChange(v *view, args url.Values) {
	base, err := parseBase(args)
	if err != nil {
		v.Title, v.Message = "Not readable", err.Error()
		return
	}
	mine, err := document.Parse([]byte(args.Get("mine")))
	if err != nil {
		v.Title, v.Message, v.Faults = "Not applied", "The change is not valid.", faultsOf(err)
		return
	}
	mine.Author = v.Person.Name
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	revision, err := s.Backend.Replace(call, base, mine)
	var conflict *document.Conflict
	switch {
	case errors.As(err, &conflict):
		v.showConflict(conflict)
	case err != nil:
		// The change stays in the form and can be submitted again, because the update is conditional on the revision.
		v.showPreview(base, mine)
		v.Title, v.Message = "Not confirmed", err.Error()
	default:
		s.Log.Info().Str("operator", v.Person.Name).Uint64("revision", revision).Msg("operator: change applied")
		v.Title = "Applied"
		v.Message = "The change is in revision " + strconv.FormatUint(revision, 10) + "."
		v.Ours = document.Diff(base.Document, mine)
	}
}

// showPreview shows a change and the button that applies it.
func (v *view) showPreview(base document.Snapshot, mine *document.Document) {
	v.Title, v.Apply = "Preview", true
	v.Ours = document.Diff(base.Document, mine)
	v.Revision, v.Base, v.Mine, v.Note = base.Revision, compactJSON(base.Document), compactJSON(mine), mine.Note
	if !slices.ContainsFunc(v.Ours, func(c document.Change) bool { return c.Path != "author" && c.Path != "note" }) {
		v.Apply, v.Message = false, "The form changes nothing."
	}
}

// showConflict shows both changes, and offers the operator's change merged into the document that is stored now.
func (v *view) showConflict(c *document.Conflict) {
	v.Title, v.Message = "Conflict", c.Error()
	v.Theirs, v.Ours = c.Theirs(), c.Ours()
	v.Revision, v.Base, v.Mine, v.Note = c.Current.Revision, compactJSON(c.Current.Document), compactJSON(c.Mine), c.Mine.Note
	if c.Base.Document == nil || c.Current.Document == nil {
		v.Apply = true
		return
	}
	merged, both, err := document.Merge(c.Base.Document, c.Mine, c.Current.Document)
	if err != nil {
		return
	}
	v.Both = both
	if faults := document.Validate(merged); len(faults) > 0 {
		v.Faults = faults
		return
	}
	v.Mine, v.Apply = compactJSON(merged), true
}

func rolloutsOf(d *document.Document, halts []Halt) []rollout {
	var out []rollout
	for _, m := range d.Models {
		for _, x := range m.Versions {
			r := rollout{Model: m.Name, Version: x.Name, State: x.State, Share: x.Share}
			for _, h := range halts {
				if h.Model == m.Name && h.Version == x.Name {
					r.Halt, r.Since = h.Reason, h.At
				}
			}
			if r.Since != 0 || x.State != document.Withdrawn {
				out = append(out, r)
			}
		}
	}
	return out
}

// parseBase reads the document on which a form is based from the form itself. The conditional update checks whether it is
// still the stored one.
func parseBase(args url.Values) (document.Snapshot, error) {
	revision, err := strconv.ParseUint(args.Get("revision"), 10, 64)
	if err != nil || revision == 0 {
		return document.Snapshot{}, err
	}
	if args.Get("base") == "" {
		return document.Snapshot{Revision: revision}, nil // the stored document is not valid
	}
	d, err := document.Parse([]byte(args.Get("base")))
	if err != nil {
		return document.Snapshot{}, err
	}
	return document.Snapshot{Revision: revision, Document: d}, nil
}

func faultsOf(err error) []document.Fault {
	var f document.Faults
	if errors.As(err, &f) {
		return f
	}
	return []document.Fault{{Text: err.Error()}}
}

func compactJSON(d *document.Document) string {
	if d == nil {
		return ""
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return ""
	}
	return string(raw)
}

func (s *Server) render(ctx *fasthttp.RequestCtx, v view) {
	var out bytes.Buffer
	if err := pages.Execute(&out, v); err != nil {
		s.Log.Error().Err(err).Msg("operator: page not rendered")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("text/html; charset=utf-8")
	ctx.SetBody(out.Bytes())
}

var pages = template.Must(template.New("page").Funcs(template.FuncMap{"time": formatTime}).Parse(markup))

func formatTime(t clock.Time) string {
	if t == 0 {
		return "never"
	}
	return t.Std().UTC().Format("2006-01-02 15:04:05 UTC")
}

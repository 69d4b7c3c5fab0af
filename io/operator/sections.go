package operator

import (
	"fmt"
	"net/url"
	"slices"

	"shallotrun/core/document"
)

// section is one page of the console, with a form for a part of the document.
type section struct {
	Path  string
	Title string
	Help  string
	build func(b *formBuilder, d *document.Document)
}

var sections = []section{
	{"routes", "Routes", "Names that callers use in place of a model. Clear the name to remove a route.", routes},
	{"workspaces", "Workspaces", "Allowed models and versions, one a line as MODEL or MODEL@VERSION. Keys are SHA-256 hashes. Clear the name to remove a workspace.", workspaces},
	{"rollouts", "Roll-outs", "State and share of each version. A canary gets its share of new work, the live version the rest; a draining version finishes its sessions; a withdrawn one gets nothing new.", rollouts},
	{"cascades", "Cascades and ranks", "A cascade tries its stages in order, cheapest first, one a line. The minimum shares hold in a flood of more urgent work.", cascades},
}

func sectionOf(path string) *section {
	for i := range sections {
		if sections[i].Path == path {
			return &sections[i]
		}
	}
	return nil
}

// readForm copies the values of a submitted form into d, a copy of the document on which the form is based.
func (x *section) readForm(d *document.Document, v url.Values) []document.Fault {
	x.addEmptyEntries(d)
	b := new(formBuilder)
	x.build(b, d)
	var faults []document.Fault
	for _, g := range b.groups {
		for _, f := range g.Fields {
			if e := f.read(v); e != nil {
				faults = append(faults, *e)
			}
		}
	}
	x.removeUnnamedEntries(d)
	return faults
}

// showForm returns the form for a document. It changes d, which has to be a copy.
func (x *section) showForm(d *document.Document) []*group {
	x.addEmptyEntries(d)
	b := new(formBuilder)
	x.build(b, d)
	return b.groups
}

// addEmptyEntries appends the empty entries in which an operator can enter a new route, workspace, cascade or version.
func (x *section) addEmptyEntries(d *document.Document) {
	switch x.Path {
	case "routes":
		d.Routes = append(d.Routes, document.Route{})
	case "workspaces":
		d.Workspaces = append(d.Workspaces, document.Workspace{Rank: "normal", Weight: 1})
	case "cascades":
		d.Cascades = append(d.Cascades, document.Cascade{Down: document.DownFirst})
	case "rollouts":
		for i := range d.Models {
			d.Models[i].Versions = append(d.Models[i].Versions, document.Version{State: document.Canary})
		}
	}
}

// removeUnnamedEntries removes the entries without a name: unused empty ones, and those whose name was cleared.
func (x *section) removeUnnamedEntries(d *document.Document) {
	switch x.Path {
	case "routes":
		d.Routes = slices.DeleteFunc(d.Routes, func(r document.Route) bool { return r.Name == "" })
	case "workspaces":
		d.Workspaces = slices.DeleteFunc(d.Workspaces, func(w document.Workspace) bool { return w.Name == "" })
	case "cascades":
		d.Cascades = slices.DeleteFunc(d.Cascades, func(c document.Cascade) bool { return c.Name == "" })
	case "rollouts":
		for i := range d.Models {
			m := &d.Models[i]
			m.Versions = slices.DeleteFunc(m.Versions, func(v document.Version) bool { return v.Name == "" })
		}
	}
}

func routes(b *formBuilder, d *document.Document) {
	for i := range d.Routes {
		r := &d.Routes[i]
		b.group(title("Route", r.Name), fmt.Sprintf("routes.%d", i))
		b.text(&r.Name, "name", "Name")
		b.text(&r.Model, "model", "MODEL or MODEL@VERSION")
		b.selectOne(&r.Rank, "rank", "Rank where the caller names none", "", "urgent", "normal", "batch")
	}
}

func workspaces(b *formBuilder, d *document.Document) {
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		b.group(title("Workspace", w.Name), fmt.Sprintf("workspaces.%d", i))
		b.text(&w.Name, "name", "Name")
		b.list(&w.Allow, "allow", "Allowed models and versions")
		b.list(&w.Routes, "routes", "Routes and cascades")
		b.list(&w.Services, "services", "Plain services")
		b.selectOne(&w.Rank, "rank", "Most urgent rank", "urgent", "normal", "batch")
		b.number(&w.Weight, "weight", "Weight among the workspaces of a rank")
		b.number(&w.Limit, "limit", "Largest max_tokens, 0 for the default")
		b.list(&w.Keys, "keys", "SHA-256 of the API keys")
	}
}

func rollouts(b *formBuilder, d *document.Document) {
	for i := range d.Models {
		m := &d.Models[i]
		for j := range m.Versions {
			v := &m.Versions[j]
			b.group(title("Version of "+m.Name, v.Name), fmt.Sprintf("models.%d.%d", i, j))
			b.text(&v.Name, "name", "Name")
			b.selectOne(&v.State, "state", "State", document.Canary, document.Live, document.Draining, document.Withdrawn)
			b.number(&v.Share, "share", "Share of new work while canary, percent")
			b.number(&v.Cost, "cost", "Cost of 1,000 tokens, millionths")
			b.check(&v.Exact, "exact", "Same request gives the same tokens on every replica")
			b.selectOne(&v.Stale, "stale", "Without the platform", "", document.StaleServe, document.StaleRefuse)
			b.number(&v.Limit, "limit", "Seconds until it is refused without the platform")
		}
	}
}

func cascades(b *formBuilder, d *document.Document) {
	b.group("Minimum shares in a flood", "ranks")
	b.number(&d.Ranks.Normal, "normal", "Normal, percent, 0 for the default")
	b.number(&d.Ranks.Batch, "batch", "Batch, percent, 0 for the default")
	for i := range d.Cascades {
		c := &d.Cascades[i]
		b.group(title("Cascade", c.Name), fmt.Sprintf("cascades.%d", i))
		b.text(&c.Name, "name", "Name")
		b.list(&c.Stages, "stages", "Stages, cheapest first")
		b.number(&c.Quality, "quality", "Target rating, percent")
		b.selectOne(&c.Down, "down", "Stage while ratings are missing", document.DownFirst, document.DownLast)
		b.number(&c.Wait, "wait", "Milliseconds to wait for a rating, 0 for the default")
	}
}

func title(kind, name string) string {
	if name == "" {
		return kind + ": add one"
	}
	return kind + " " + name
}

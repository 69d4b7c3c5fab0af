package route

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"shallotrun/core/document"
	"shallotrun/core/work"
)

// Table is the index of one document.
type Table struct {
	Document *document.Document

	keys       map[string]*Workspace // by hex SHA-256 of the key
	workspaces map[string]*Workspace
	models     map[string]*document.Model
	versions   map[Target]*document.Version
	routes     map[string]*document.Route
	cascades   map[string]*document.Cascade
	services   map[string]*document.Service
	poolOf     map[string]string // name of the pool by model
}

// Workspace is a workspace of the document with its permissions as an index.
type Workspace struct {
	document.Workspace
	MostUrgent work.Rank       // the most urgent rank that it may ask for
	allow      map[string]bool // by MODEL or MODEL@VERSION
}

// Target is a version of a model.
type Target struct{ Model, Version string }

// String returns MODEL@VERSION.
func (t Target) String() string { return t.Model + "@" + t.Version }

// Compile builds the table of a validated document.
func Compile(d *document.Document) *Table {
	t := &Table{
		Document:   d,
		keys:       make(map[string]*Workspace),
		workspaces: make(map[string]*Workspace),
		models:     make(map[string]*document.Model),
		versions:   make(map[Target]*document.Version),
		routes:     make(map[string]*document.Route),
		cascades:   make(map[string]*document.Cascade),
		services:   make(map[string]*document.Service),
		poolOf:     make(map[string]string),
	}
	for i := range d.Models {
		m := &d.Models[i]
		t.models[m.Name] = m
		for j := range m.Versions {
			t.versions[Target{m.Name, m.Versions[j].Name}] = &m.Versions[j]
		}
	}
	for i := range d.Routes {
		t.routes[d.Routes[i].Name] = &d.Routes[i]
	}
	for i := range d.Cascades {
		t.cascades[d.Cascades[i].Name] = &d.Cascades[i]
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Pools {
		for _, m := range d.Pools[i].Models {
			if _, ok := t.poolOf[m]; !ok {
				t.poolOf[m] = d.Pools[i].Name
			}
		}
	}
	for _, w := range d.Workspaces {
		t.addWorkspace(w)
	}
	return t
}

// WorkspaceByKey returns the workspace that an API key belongs to, nil if the key is unknown.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	sum := sha256.Sum256([]byte(key))
	var buf [2 * sha256.Size]byte
	hex.Encode(buf[:], sum[:])
	return t.keys[string(buf[:])]
}

// Workspace returns the workspace of a name, nil if the document has none.
func (t *Table) Workspace(name string) *Workspace { return t.workspaces[name] }

// Version returns the version of a target, nil if the document has none.
func (t *Table) Version(v Target) *document.Version { return t.versions[v] }

// Pool returns the pool that serves a model, "" for none. If several do, it is the first one in the document.
func (t *Table) Pool(model string) string { return t.poolOf[model] }

// Slots returns the number of concurrent requests that each backend server of a pool takes, 0 if not configured.
func (t *Table) Slots(pool string) int {
	for i := range t.Document.Pools {
		if t.Document.Pools[i].Name == pool {
			return t.Document.Pools[i].Slots
		}
	}
	return 0
}

// Names returns the names that a workspace may ask for: models, the versions that are not withdrawn as MODEL@VERSION, routes
// and cascades.
func (t *Table) Names(w *Workspace) []string {
	var out []string
	for _, m := range t.Document.Models {
		if w.allow[m.Name] {
			out = append(out, m.Name)
		}
		for _, v := range m.Versions {
			if v.State != document.Withdrawn && w.Allows(Target{m.Name, v.Name}) {
				out = append(out, m.Name+"@"+v.Name)
			}
		}
	}
	for _, n := range w.Routes {
		if t.routes[n] != nil || t.cascades[n] != nil {
			out = append(out, n)
		}
	}
	return out
}

// Allows reports whether the workspace may use a version.
func (w *Workspace) Allows(v Target) bool { return w.allow[v.Model] || w.allow[v.String()] }

func (t *Table) addWorkspace(d document.Workspace) {
	w := &Workspace{Workspace: d, allow: make(map[string]bool)}
	if r, err := work.ParseRank(d.Rank); err == nil {
		w.MostUrgent = r
	} else {
		w.MostUrgent = work.Batch
	}
	for _, a := range d.Allow {
		w.allow[a] = true
	}
	for _, k := range d.Keys {
		t.keys[strings.ToLower(k)] = w
	}
	t.workspaces[d.Name] = w
}

package document

import (
	"fmt"
	"slices"
	"strings"

	"shallotrun/core/work"
)

// Kinds of findings.
const (
	// Unused is an entry that no request can ever match.
	Unused FindingKind = "unused"
	// Contradiction is a limit that another entry makes ineffective.
	Contradiction FindingKind = "contradiction"
)

// FindingKind is the kind of a Finding.
type FindingKind string

// Finding is a part of a valid document that has no effect, or not the one that it states.
type Finding struct {
	Kind FindingKind `json:"kind"`
	Fault
}

// Review returns the findings of a valid document, in the order of the document. A document with findings may be put in force.
func Review(d *Document) []Finding {
	r := &reviewer{d: d, taking: make(map[string]bool), served: make(map[string]bool)}
	for _, m := range d.Models {
		r.taking[m.Name] = slices.ContainsFunc(m.Versions, func(v Version) bool { return v.State == Live || v.State == Canary })
	}
	for _, p := range d.Pools {
		for _, m := range p.Models {
			r.served[m] = true
		}
	}
	r.models()
	r.pools()
	r.services()
	r.routes()
	r.cascades()
	r.workspaces()
	return r.findings
}

// reviewer collects the findings of one document.
type reviewer struct {
	d        *Document
	taking   map[string]bool // models with a version that takes new work
	served   map[string]bool // models that a pool serves
	findings []Finding
}

func (r *reviewer) add(kind FindingKind, path, format string, args ...any) {
	r.findings = append(r.findings, Finding{kind, Fault{path, fmt.Sprintf(format, args...)}})
}

func (r *reviewer) models() {
	for i, m := range r.d.Models {
		p := indexed("models", i)
		if !r.served[m.Name] {
			r.add(Unused, p, "no pool serves the model")
		}
		if !slices.ContainsFunc(r.d.Workspaces, func(w Workspace) bool { return allowsAny(w, m) }) {
			r.add(Unused, p, "no workspace may use the model")
		}
		r.versions(p, m)
	}
}

func (r *reviewer) versions(p string, m Model) {
	share := 0
	for _, v := range m.Versions {
		share += v.Share
	}
	if live := slices.IndexFunc(m.Versions, func(v Version) bool { return v.State == Live }); live >= 0 && share == 100 {
		r.add(Contradiction, indexed(p+".versions", live), "the canaries take all new work that names no version, so the live one gets none")
	}
}

// allowsAny reports whether a workspace may use any version of a model.
func allowsAny(w Workspace, m Model) bool {
	return slices.ContainsFunc(m.Versions, func(v Version) bool { return allows(w, m.Name, v.Name) })
}

func allows(w Workspace, model, version string) bool {
	return slices.Contains(w.Allow, model) || slices.Contains(w.Allow, model+"@"+version)
}

// mayUse reports whether a workspace may use a version that takes new work and that a reference names.
func (r *reviewer) mayUse(w Workspace, ref string) bool {
	name, version, pinned := SplitRef(ref)
	for _, m := range r.d.Models {
		for _, v := range m.Versions {
			if m.Name == name && (!pinned || v.Name == version) && (v.State == Live || v.State == Canary) && allows(w, name, v.Name) {
				return true
			}
		}
	}
	return false
}

// targets returns the references to models of a route or cascade.
func (r *reviewer) targets(name string) []string {
	for _, x := range r.d.Routes {
		if x.Name == name {
			return []string{x.Model}
		}
	}
	for _, x := range r.d.Cascades {
		if x.Name == name {
			return x.Stages
		}
	}
	return nil
}

func (r *reviewer) pools() {
	for i, p := range r.d.Pools {
		if !slices.ContainsFunc(p.Models, func(m string) bool { return r.taking[m] }) {
			r.add(Unused, indexed("pools", i), "no model of the pool has a version that takes new work")
		}
	}
}

func (r *reviewer) services() {
	for i, s := range r.d.Services {
		p := indexed("services", i)
		users := r.users(func(w Workspace) []string { return w.Services }, s.Name)
		if len(users) == 0 {
			r.add(Unused, p, "no workspace may call the service")
		}
		r.rank(p+".rank", s.Rank, users)
		for j, c := range s.Calls {
			k := slices.IndexFunc(s.Calls[:j], func(e Call) bool { return e.Method == c.Method && strings.HasPrefix(c.Path, e.Path) })
			if k >= 0 {
				r.add(Unused, indexed(p+".calls", j), "the call at %s matches all of its requests first", indexed(p+".calls", k))
			}
		}
	}
}

func (r *reviewer) routes() {
	for i, x := range r.d.Routes {
		p := indexed("routes", i)
		users := r.users(func(w Workspace) []string { return w.Routes }, x.Name)
		if len(users) == 0 {
			r.add(Unused, p, "no workspace may use the route")
		}
		r.rank(p+".rank", x.Rank, users)
		r.reference(p+".model", x.Model)
	}
}

func (r *reviewer) cascades() {
	for i, x := range r.d.Cascades {
		p := indexed("cascades", i)
		if len(r.users(func(w Workspace) []string { return w.Routes }, x.Name)) == 0 {
			r.add(Unused, p, "no workspace may use the cascade")
		}
		for j, s := range x.Stages {
			r.reference(indexed(p+".stages", j), s)
			if j > 0 && r.isCheaper(s, x.Stages[j-1]) {
				r.add(Contradiction, indexed(p+".stages", j), "the stage costs less than the one before it; stages go from the cheapest to the dearest")
			}
		}
		if x.Quality > 0 && len(x.Stages) == 1 {
			r.add(Contradiction, p+".quality", "with one stage there is nothing to choose for the quality")
		}
	}
}

func (r *reviewer) workspaces() {
	for i, w := range r.d.Workspaces {
		p := indexed("workspaces", i)
		if len(w.Keys) == 0 {
			r.add(Unused, p, "the workspace has no key, so no request is its own")
		}
		if len(w.Allow)+len(w.Services)+len(w.Routes) == 0 {
			r.add(Unused, p, "the workspace may use nothing")
		}
		for j, s := range w.Allow {
			q := indexed(p+".allow", j)
			r.reference(q, s)
			if m, _, pinned := SplitRef(s); pinned && slices.Contains(w.Allow, m) {
				r.add(Unused, q, "the workspace may use all versions of %q", m)
			}
		}
		for j, name := range w.Routes {
			for _, ref := range r.targets(name) {
				if !r.mayUse(w, ref) {
					r.add(Contradiction, indexed(p+".routes", j), "the workspace may use %q, but not what it leads to, %q", name, ref)
				}
			}
		}
	}
}

// users returns the workspaces that list a name.
func (r *reviewer) users(list func(Workspace) []string, name string) (out []Workspace) {
	for _, w := range r.d.Workspaces {
		if slices.Contains(list(w), name) {
			out = append(out, w)
		}
	}
	return out
}

// rank reports a default rank that is more urgent than the rank of every workspace that may use the entry: it never takes effect.
func (r *reviewer) rank(path, rank string, users []Workspace) {
	v, err := work.ParseRank(rank)
	if err != nil || len(users) == 0 {
		return
	}
	for _, w := range users {
		if most, err := work.ParseRank(w.Rank); err == nil && most <= v {
			return
		}
	}
	r.add(Contradiction, path, "no workspace that may use it may ask for rank %s", rank)
}

// reference reports a reference to what takes no new work.
func (r *reviewer) reference(path, ref string) {
	m, v, pinned := SplitRef(ref)
	switch {
	case pinned && r.state(m, v) == Withdrawn:
		r.add(Unused, path, "version %q of %q is withdrawn", v, m)
	case !pinned && !r.taking[m]:
		r.add(Unused, path, "no version of %q takes new work", m)
	}
}

func (r *reviewer) state(model, version string) string {
	for _, m := range r.d.Models {
		for _, v := range m.Versions {
			if m.Name == model && v.Name == version {
				return v.State
			}
		}
	}
	return ""
}

// isCheaper reports whether a reference costs less than another. It is false if the cost of one is not known.
func (r *reviewer) isCheaper(ref, than string) bool {
	a, known := r.cost(ref)
	b, otherKnown := r.cost(than)
	return known && otherKnown && a < b
}

// cost returns the cost of a reference: that of its version, or of the model's live one, and false if there is none.
func (r *reviewer) cost(ref string) (cost int, known bool) {
	name, version, pinned := SplitRef(ref)
	for _, m := range r.d.Models {
		for _, v := range m.Versions {
			if m.Name == name && (pinned && v.Name == version || !pinned && v.State == Live) {
				return v.Cost, true
			}
		}
	}
	return 0, false
}

package rollout

import (
	"slices"
	"strings"

	"shallotrun/core/document"
)

// Halted is the record that a version was halted while the document of a revision was in force.
type Halted struct {
	Model    string `cbor:"model"`
	Version  string `cbor:"version"`
	Revision uint64 `cbor:"revision"`
	Reason   string `cbor:"reason"`
}

// Halts is the set of halted versions. It can be merged with the sets of the peers in any order. A halt ends only with a
// document of a later revision that takes the version out of service itself. A later document that still has the version in
// service does not end it, since its author may not have seen the halt or may have changed something else.
type Halts struct {
	all   map[version]Halted
	ended map[version]uint64 // revision of the document that ended the version's earlier halts
}

// Add includes a halt. It returns true if the version was not halted before, so that the halt has to be sent on.
func (h *Halts) Add(x Halted) bool {
	v := version{x.Model, x.Version}
	if end, ok := h.ended[v]; ok && x.Revision < end {
		return false
	}
	old, known := h.all[v]
	if known && (old.Revision > x.Revision || old.Revision == x.Revision && old.Reason <= x.Reason) {
		return false
	}
	if h.all == nil {
		h.all = make(map[version]Halted)
	}
	h.all[v] = x
	return !known
}

// Has reports whether a version is halted.
func (h *Halts) Has(model, name string) bool {
	_, ok := h.all[version{model, name}]
	return ok
}

// All returns the halts ordered by model and version.
func (h *Halts) All() []Halted {
	var out []Halted
	for _, x := range h.all {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Halted) int {
		return strings.Compare(a.Model+"\x00"+a.Version, b.Model+"\x00"+b.Version)
	})
	return out
}

// ApplyDocument removes the halts that end with a document of the given revision, and returns them. The caller should reset their
// evidence, since such a version returns to service only by an operator's decision.
func (h *Halts) ApplyDocument(revision uint64, doc *document.Document) []Halted {
	serving := make(map[version]bool)
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			serving[version{m.Name, v.Name}] = v.State == document.Canary || v.State == document.Live
		}
	}
	var out []Halted
	for _, x := range h.All() {
		v := version{x.Model, x.Version}
		if serving[v] || revision <= x.Revision {
			continue
		}
		if h.ended == nil {
			h.ended = make(map[version]uint64)
		}
		h.ended[v] = max(h.ended[v], revision)
		delete(h.all, v)
		out = append(out, x)
	}
	return out
}

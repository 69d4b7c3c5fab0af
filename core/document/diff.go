package document

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
)

// Change is one difference between two documents. Old or New is "" if the value is absent there.
type Change struct {
	Path string `json:"path"` // as in Fault, with names in place of indexes: models[small].versions[3].share
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change as one line that begins with + (added), - (removed) or ~ (changed).
func (c Change) String() string {
	switch {
	case c.Old == "":
		return "+ " + c.Path + " " + c.New
	case c.New == "":
		return "- " + c.Path + " " + c.Old
	default:
		return "~ " + c.Path + " " + c.Old + " -> " + c.New
	}
}

// Diff returns the differences from a to b, sorted by path. Either may be nil.
func Diff(a, b *Document) []Change {
	var out []Change
	diff("", toTree(a), toTree(b), &out)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// toTree converts a document to maps and lists, so that one comparison covers every field, also those added later.
func toTree(d *Document) any {
	if d == nil {
		return nil
	}
	raw, err := json.Marshal(d)
	if err != nil {
		return nil
	}
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil
	}
	return v
}

func diff(path string, a, b any, out *[]Change) {
	am, aok := a.(map[string]any)
	bm, bok := b.(map[string]any)
	if (aok || a == nil) && (bok || b == nil) && (aok || bok) {
		diffMap(path, am, bm, out)
		return
	}
	al, aok := a.([]any)
	bl, bok := b.([]any)
	if (aok || a == nil) && (bok || b == nil) && (aok || bok) {
		diffList(path, al, bl, out)
		return
	}
	if compactJSON(a) != compactJSON(b) {
		*out = append(*out, Change{Path: path, Old: compactJSON(a), New: compactJSON(b)})
	}
}

func diffMap(path string, a, b map[string]any, out *[]Change) {
	for _, k := range unionKeys(a, b) {
		// The path contains the name, also for an entry that was added or removed.
		if k == "name" && path != "" {
			continue
		}
		diff(join(path, k), a[k], b[k], out)
	}
}

func diffList(path string, a, b []any, out *[]Change) {
	an, aok := byName(a)
	bn, bok := byName(b)
	if !aok || !bok {
		if compactJSON(a) != compactJSON(b) {
			*out = append(*out, Change{Path: path, Old: compactJSON(a), New: compactJSON(b)})
		}
		return
	}
	for _, k := range unionKeys(an, bn) {
		p := fmt.Sprintf("%s[%s]", path, k)
		if an[k] == nil || bn[k] == nil {
			*out = append(*out, Change{Path: p, Old: compactJSON(an[k]), New: compactJSON(bn[k])})
			continue
		}
		diff(p, an[k], bn[k], out)
	}
}

// byName returns the entries of a list by their names. It returns false for a list whose entries have no unique names; such a
// list is compared as a whole, because the order of its entries matters.
func byName(l []any) (map[string]any, bool) {
	out := map[string]any{}
	for _, e := range l {
		m, ok := e.(map[string]any)
		if !ok {
			return nil, false
		}
		name, ok := m["name"].(string)
		if !ok || out[name] != nil {
			return nil, false
		}
		out[name] = m
	}
	return out, true
}

func unionKeys(a, b map[string]any) []string {
	var out []string
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

func compactJSON(v any) string {
	if v == nil {
		return ""
	}
	if l, ok := v.([]any); ok && len(l) == 0 {
		return ""
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

package document

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
)

// Change is one difference between two documents. Old or New is empty where the value is absent.
type Change struct {
	Path string `json:"path"` // as in Fault, with names in place of indexes: models[small].versions[3].share
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change in one line.
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

// Diff returns the differences from a to b, ordered by path. Either may be nil.
func Diff(a, b *Document) []Change {
	var out []Change
	diff("", tree(a), tree(b), &out)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Path < out[j].Path })
	return out
}

// tree turns a document into maps and lists, so that one comparison covers every present and later field.
func tree(d *Document) any {
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
	if show(a) != show(b) {
		*out = append(*out, Change{Path: path, Old: show(a), New: show(b)})
	}
}

func diffMap(path string, a, b map[string]any, out *[]Change) {
	for _, k := range keys(a, b) {
		// The name is the index in the path; an entry that is new or gone shows it there.
		if k == "name" && path != "" {
			continue
		}
		diff(join(path, k), a[k], b[k], out)
	}
}

func diffList(path string, a, b []any, out *[]Change) {
	an, aok := index(a)
	bn, bok := index(b)
	if !aok || !bok {
		if show(a) != show(b) {
			*out = append(*out, Change{Path: path, Old: show(a), New: show(b)})
		}
		return
	}
	for _, k := range keys(an, bn) {
		p := fmt.Sprintf("%s[%s]", path, k)
		if an[k] == nil || bn[k] == nil {
			*out = append(*out, Change{Path: p, Old: show(an[k]), New: show(bn[k])})
			continue
		}
		diff(p, an[k], bn[k], out)
	}
}

// index maps a list by the names of its entries. It fails for a list whose entries have no unique names,
// which is compared as a whole because the order of its entries matters.
func index(l []any) (map[string]any, bool) {
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

func keys(a, b map[string]any) []string {
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

func show(v any) string {
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

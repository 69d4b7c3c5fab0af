package document

import (
	"encoding/json"

	"github.com/samber/oops"
)

// Merge joins two changes of one base. Where both changed the same value differently, the paths are
// returned and the merged document holds mine. Author and note are always mine. The merged document is not
// validated: two changes that are valid alone may not be valid together.
func Merge(base, mine, theirs *Document) (*Document, []string, error) {
	var both []string
	v := merge3("", tree(base), tree(mine), tree(theirs), &both)
	if m, ok := v.(map[string]any); ok {
		m["author"], m["note"] = mine.Author, mine.Note
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, nil, oops.Wrapf(err, "merge")
	}
	out := new(Document)
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, nil, oops.Wrapf(err, "merge")
	}
	return out, both, nil
}

func merge3(path string, base, mine, theirs any, both *[]string) any {
	switch {
	case show(mine) == show(theirs), show(theirs) == show(base):
		return mine
	case show(mine) == show(base):
		return theirs
	}
	bm, _ := base.(map[string]any)
	mm, ok1 := mine.(map[string]any)
	tm, ok2 := theirs.(map[string]any)
	if ok1 && ok2 {
		out := map[string]any{}
		for _, k := range keys(mm, tm) {
			if v := merge3(join(path, k), bm[k], mm[k], tm[k], both); v != nil {
				out[k] = v
			}
		}
		return out
	}
	ml, ok1 := mine.([]any)
	tl, ok2 := theirs.([]any)
	if ok1 && ok2 {
		bl, _ := base.([]any)
		if l, ok := mergeList(path, bl, ml, tl, both); ok {
			return l
		}
	}
	if path != "author" && path != "note" {
		*both = append(*both, path)
	}
	return mine
}

// mergeList merges lists of named entries: theirs in their order, then the entries that are new in mine.
func mergeList(path string, base, mine, theirs []any, both *[]string) ([]any, bool) {
	bn, ok1 := index(base)
	mn, ok2 := index(mine)
	tn, ok3 := index(theirs)
	if !ok1 || !ok2 || !ok3 {
		return nil, false
	}
	out := []any{}
	seen := map[string]bool{}
	for _, e := range append(append([]any{}, theirs...), mine...) {
		// index has shown that every entry is an object with a name.
		name, _ := e.(map[string]any)["name"].(string)
		if seen[name] {
			continue
		}
		seen[name] = true
		if v := merge3(path+"["+name+"]", bn[name], mn[name], tn[name], both); v != nil {
			out = append(out, v)
		}
	}
	return out, true
}

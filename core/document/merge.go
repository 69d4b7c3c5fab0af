package document

import (
	"encoding/json"

	"github.com/samber/oops"
)

// Merge performs a three-way merge of two changes of one base document. It returns the paths of the values that both changed
// differently; the merged document has the value of mine there, and always the author and the note of mine. The result is not
// validated: two changes that are valid alone may not be valid together.
func Merge(base, mine, theirs *Document) (*Document, []string, error) {
	var conflicts []string
	v := merge3("", toTree(base), toTree(mine), toTree(theirs), &conflicts)
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
	return out, conflicts, nil
}

// merge3 merges one value and returns nil if it is absent from the result.
func merge3(path string, base, mine, theirs any, conflicts *[]string) any {
	switch {
	case compactJSON(mine) == compactJSON(theirs), compactJSON(theirs) == compactJSON(base):
		return mine
	case compactJSON(mine) == compactJSON(base):
		return theirs
	}
	bm, _ := base.(map[string]any)
	mm, ok1 := mine.(map[string]any)
	tm, ok2 := theirs.(map[string]any)
	if ok1 && ok2 {
		out := map[string]any{}
		for _, k := range unionKeys(mm, tm) {
			if v := merge3(join(path, k), bm[k], mm[k], tm[k], conflicts); v != nil {
				out[k] = v
			}
		}
		return out
	}
	ml, ok1 := mine.([]any)
	tl, ok2 := theirs.([]any)
	if ok1 && ok2 {
		bl, _ := base.([]any)
		if l, ok := mergeList(path, bl, ml, tl, conflicts); ok {
			return l
		}
	}
	if path != "author" && path != "note" {
		*conflicts = append(*conflicts, path)
	}
	return mine
}

// mergeList merges lists of named entries: the entries of theirs in their order, then those that only mine has. It returns
// false if a list cannot be merged by names.
func mergeList(path string, base, mine, theirs []any, conflicts *[]string) ([]any, bool) {
	bn, ok1 := byName(base)
	mn, ok2 := byName(mine)
	tn, ok3 := byName(theirs)
	if !ok1 || !ok2 || !ok3 {
		return nil, false
	}
	out := []any{}
	seen := map[string]bool{}
	for _, e := range append(append([]any{}, theirs...), mine...) {
		// byName succeeded, so every entry is an object with a name.
		name, _ := e.(map[string]any)["name"].(string)
		if seen[name] {
			continue
		}
		seen[name] = true
		if v := merge3(path+"["+name+"]", bn[name], mn[name], tn[name], conflicts); v != nil {
			out = append(out, v)
		}
	}
	return out, true
}

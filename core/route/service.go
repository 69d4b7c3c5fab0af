package route

import (
	"slices"
	"strings"

	"shallotrun/core/document"
	"shallotrun/core/work"
)

// Service returns a plain service that the workspace may call.
func (t *Table) Service(w *Workspace, name string) (*document.Service, *work.Refusal) {
	d := t.services[name]
	if d == nil {
		return nil, refuse(work.CodeModelUnknown, 404, "there is no service "+name)
	}
	if w == nil || !slices.Contains(w.Services, name) {
		return nil, notAllowed("service " + name)
	}
	return d, nil
}

// Repeats reports whether a call may run more than once. Path is the part after /services/NAME. An entry that
// permits repeats applies to whole path segments only, so that /tags/find does not cover /tags/findorissue.
func Repeats(d *document.Service, method, path string) bool {
	for _, c := range d.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return c.Repeat && whole(path, c.Path)
		}
	}
	return method == "GET" || method == "HEAD"
}

// whole reports whether prefix ends at a segment of path.
func whole(path, prefix string) bool {
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

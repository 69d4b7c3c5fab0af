package route

import (
	"slices"
	"strings"

	"shallotrun/core/document"
	"shallotrun/core/work"
)

// Service returns the plain service of a name, or a refusal if there is none or the workspace may not call it.
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

// Repeatable reports whether a call of a plain service may run more than once. Path is the part after /services/NAME. The first
// entry with the method and a prefix of the path decides; without one, GET and HEAD may be repeated. An entry that permits
// repeats applies to whole path segments only, so that /tags/find does not cover /tags/findorissue.
func Repeatable(d *document.Service, method, path string) bool {
	for _, c := range d.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return c.Repeat && endsAtSegment(path, c.Path)
		}
	}
	return method == "GET" || method == "HEAD"
}

// endsAtSegment reports whether prefix, a prefix of path, ends where a segment of path ends.
func endsAtSegment(path, prefix string) bool {
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

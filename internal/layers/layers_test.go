package layers

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a decision package that comes to depend on a socket or on the daemon's wiring, which
// would keep it from being embedded or tested with a table.
func TestImportsPointDown(t *testing.T) {
	root := filepath.Join("..", "..")
	state := []string{"core/clock", "core/document", "core/work"}
	banned := []string{"net", "net/http", "os", "time", "github.com/valyala/fasthttp"}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		rel, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, s := range f.Imports {
			p, err := strconv.Unquote(s.Path.Value)
			if err != nil {
				return err
			}
			own := strings.TrimPrefix(p, "shallotrun/")
			if strings.HasPrefix(rel, "io/") {
				assert.Check(t, !strings.HasPrefix(p, "shallotrun/internal/"), "%s imports %s", path, p)
			}
			if !strings.HasPrefix(rel, "core/") {
				continue
			}
			assert.Check(t, own == p || strings.HasPrefix(own, "core/"), "%s imports %s", path, p)
			for _, b := range banned {
				assert.Check(t, p != b || rel == "core/clock", "%s imports %s", path, p)
			}
			for _, s := range state {
				inState := false
				for _, u := range state {
					inState = inState || own == u
				}
				assert.Check(t, rel != s || own == p || inState, "%s imports %s", path, p)
			}
		}
		return nil
	})
	assert.NilError(t, err)
}

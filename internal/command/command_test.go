package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"shallotrun/core/document"
	"shallotrun/io/operator"
	"shallotrun/io/platform"
)

// fakeServer serves the document's object and the status of an entry VM. beforeUpdate runs once, before an update.
// loseResponse closes the connection after an update took effect.
type fakeServer struct {
	mu           sync.Mutex
	version      uint64
	value        json.RawMessage
	beforeUpdate func()
	loseResponse bool
	unreachable  bool // breaks every connection after a lost response
	status       operator.Status
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable && !f.loseResponse {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/status":
		_ = json.NewEncoder(w).Encode(f.status)
		return
	case r.Method == http.MethodGet && f.value == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodGet:
		_ = json.NewEncoder(w).Encode(platform.Object{Version: f.version, Value: f.value})
		return
	}
	if f.beforeUpdate != nil {
		f.beforeUpdate()
		f.beforeUpdate = nil
	}
	if cond := r.URL.Query().Get("if"); cond != fmt.Sprint(f.version) && (cond != "absent" || f.value != nil) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(platform.Object{Version: f.version})
		return
	}
	f.value, _ = io.ReadAll(r.Body)
	f.version++
	if f.loseResponse {
		f.loseResponse = false
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(platform.Object{Version: f.version})
}

func documentText(t *testing.T, edit func(d *document.Document)) []byte {
	t.Helper()
	d := &document.Document{
		Author: "ana", Domains: []string{"loka-a"},
		Models: []document.Model{{Name: "m", Versions: []document.Version{
			{Name: "1", State: document.Live}, {Name: "2", State: document.Canary, Share: 5}}}},
	}
	edit(d)
	raw, err := document.Format(d)
	assert.NilError(t, err)
	return raw
}

// Guards against an exit code or output that misreports the outcome to a script, and against a change that is lost in a race
// of two operators.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	file := func(name string, edit func(d *document.Document)) string {
		p := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(p, documentText(t, edit), 0o600))
		return p
	}
	base := file("base", func(*document.Document) {})
	mine := file("mine", func(d *document.Document) { d.Models[0].Versions[1].Share = 20 })
	used := file("used", func(d *document.Document) {
		d.Pools = []document.Pool{{Name: "p", Models: []string{"m"}, Slots: 1}}
		d.Workspaces = []document.Workspace{{Name: "w", Keys: []string{strings.Repeat("0", 64)}, Allow: []string{"m"}, Rank: "normal", Weight: 1}}
	})
	bad := file("bad", func(d *document.Document) { d.Domains = nil })
	theirs := documentText(t, func(d *document.Document) { d.Author = "cene"; d.Ranks.Batch = 7 })
	other := func(f *fakeServer) { f.value = theirs; f.version++ }
	rows := []struct {
		name  string
		setup func(f *fakeServer)
		args  []string
		code  int
		out   []string // parts of the output
	}{
		{"nothing", nil, nil, ExitUsage, []string{"exit codes"}},
		{"unknown command", nil, []string{"remove"}, ExitUsage, nil},
		{"missing argument", nil, []string{"rollout", "m@2"}, ExitUsage, nil},
		{"valid", nil, []string{"validate", base}, ExitDone, []string{"valid"}},
		{"invalid", nil, []string{"validate", bad, "-json"}, ExitInvalid, []string{`"path": "domains"`}},
		{"check, with what differs", nil, []string{"check", used}, exitChecked, []string{"0 finding(s)", "difference(s) from revision 3"}},
		{"check, found", nil, []string{"check", mine}, exitFound, []string{mine + ":", "unused: models[0]: no pool serves the model", "share 5 -> 20"}},
		{"check, invalid", nil, []string{"check", bad, "-json"}, exitFound, []string{`"kind": "fault"`, `"path": "domains"`, `"line": `}},
		{"check, no file", nil, []string{"check", mine + "x"}, exitNotChecked, []string{"no such file"}},
		{"check, platform gone", nil, []string{"-platform", "127.0.0.1:1", "check", mine}, exitNotChecked, []string{"could not be read"}},
		{"apply invalid", nil, []string{"apply", bad}, ExitInvalid, nil},
		{"show", nil, []string{"show", "-json"}, ExitDone, []string{`"revision": 3`, `"author": "ana"`}},
		{"diff", nil, []string{"diff", mine}, ExitDifferent, []string{"models[m].versions[2].share 5 -> 20"}},
		{"no difference", nil, []string{"diff", base}, ExitDone, nil},
		{"apply", nil, []string{"apply", mine}, ExitDone, []string{"revision 4", "share 5 -> 20"}},
		{"apply, response lost", func(f *fakeServer) { f.loseResponse = true }, []string{"apply", mine}, ExitDone, []string{"revision 4"}},
		{"apply, nothing can be read back", func(f *fakeServer) { f.loseResponse, f.unreachable = true, true }, []string{"apply", mine}, ExitUnknown,
			[]string{"not known"}},
		{"withdraw, nothing can be read back", func(f *fakeServer) { f.loseResponse, f.unreachable = true, true }, []string{"-timeout", "2s", "withdraw", "m@2"}, ExitUnknown,
			[]string{"not known"}},
		{"apply in a race", func(f *fakeServer) { f.beforeUpdate = func() { other(f) } }, []string{"apply", mine}, ExitConflict,
			[]string{"by cene", "ranks.batch 0 -> 7", "share 5 -> 20"}},
		{"apply after a change", func(f *fakeServer) { other(f) }, []string{"-from", base, "apply", mine}, ExitConflict,
			[]string{"ranks.batch 0 -> 7", "share 5 -> 20"}},
		{"apply to an older revision", nil, []string{"apply", "-base", "2", mine, "-json"}, ExitConflict, []string{`"outcome": "conflict"`}},
		{"apply over a broken document", func(f *fakeServer) { f.value = []byte(`{"autor":"x"}`) }, []string{"apply", mine}, ExitDone,
			[]string{"replacing", "autor: unknown field", "revision 4"}},
		{"withdraw in a broken document", func(f *fakeServer) { f.value = []byte(`{"autor":"x"}`) }, []string{"withdraw", "m@2"}, ExitInvalid, nil},
		{"withdraw in a race", func(f *fakeServer) { f.beforeUpdate = func() { other(f) } }, []string{"withdraw", "m@2"}, ExitDone,
			[]string{"revision 5", "withdrawn"}},
		{"withdraw the live version", nil, []string{"withdraw", "m@1"}, ExitInvalid, []string{"-promote"}},
		{"withdraw and promote", nil, []string{"withdraw", "-promote", "2", "m@1"}, ExitDone, []string{`"canary" -> "live"`}},
		{"drain", nil, []string{"drain", "m@2"}, ExitDone, []string{"draining"}},
		{"rollout", nil, []string{"rollout", "m@2", "30"}, ExitDone, []string{"share 5 -> 30"}},
		{"rollout of nothing", nil, []string{"rollout", "m@9", "30"}, ExitFailed, nil},
		{"platform gone", nil, []string{"-platform", "127.0.0.1:1", "apply", mine}, ExitUnavailable, nil},
		{"status", nil, []string{"status"}, ExitDone, []string{"loka-a", "e1"}},
		{"status with a halt", func(f *fakeServer) { f.status.Halts = []operator.Halt{{Model: "m", Version: "2", Reason: "\x1b[2J"}} },
			[]string{"status"}, ExitAttention, []string{`m@2`, `\x1b[2J`}},
		{"status without an answer", nil, []string{"status", "-entries", "127.0.0.1:1"}, ExitUnavailable, nil},
	}
	for _, r := range rows {
		f := &fakeServer{version: 3, value: documentText(t, func(*document.Document) {}),
			status: operator.Status{VM: "e1", Domain: "loka-a", Ready: true, Config: operator.Config{Revision: 3}}}
		if r.setup != nil {
			r.setup(f)
		}
		s := httptest.NewServer(f)
		addr := strings.TrimPrefix(s.URL, "http://")
		env := map[string]string{"SHALLOT_PLATFORM": addr, "SHALLOT_ENTRIES": addr, "SHALLOT_AUTHOR": "ana"}
		var out bytes.Buffer
		c := &Command{Env: func(k string) string { return env[k] }, Out: &out, Err: &out}
		code := c.Run(context.Background(), r.args)
		s.Close()
		assert.Check(t, code == r.code, "%s: exit code %d, want %d: %s", r.name, code, r.code, out.String())
		for _, part := range r.out {
			assert.Check(t, strings.Contains(out.String(), part), "%s: no %q in %s", r.name, part, out.String())
		}
	}
}

// Guards against a documentation page whose commands, exit codes or flags differ from the program.
func TestPage(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators.md"))
	assert.NilError(t, err)
	page := string(raw)
	for code, name := range outcomeNames {
		assert.Check(t, strings.Contains(page, fmt.Sprintf("| %d | `%s` |", code, name)), "exit code %d", code)
		assert.Check(t, strings.Contains(usage, fmt.Sprint(code)), "exit code %d in the usage", code)
	}
	_, table, _ := strings.Cut(page, "| command | what it does |")
	table, _, _ = strings.Cut(table, "\n\n")
	n := 0
	for l := range strings.Lines(table) {
		if cell, _, ok := strings.Cut(strings.TrimPrefix(l, "| `"), "` |"); ok && strings.HasPrefix(l, "| `") {
			n++
			assert.Check(t, strings.Contains(usage, "\n  "+cell+" "), "%s is not in the usage", cell)
		}
	}
	assert.Equal(t, n, 9)
	var out bytes.Buffer
	c := &Command{Env: func(string) string { return "" }, Out: &out, Err: &out}
	c.flags().VisitAll(func(f *flag.Flag) {
		switch f.Name {
		case "timeout", "note", "promote":
			return // described in the text of the examples
		}
		assert.Check(t, strings.Contains(page, "`-"+f.Name+"`"), "flag -%s", f.Name)
	})
}

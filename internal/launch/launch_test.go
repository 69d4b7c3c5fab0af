package launch

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that starts with arguments or settings that are wrong, and against a check that starts it.
func TestRun(t *testing.T) {
	for _, c := range []struct {
		args    []string
		file    string // default
		code    int
		started bool
		out     string // part of it
		err     string // part of it
	}{
		{[]string{"-settings", "good"}, "", Stopped, true, "", ""},
		{nil, "good", Stopped, true, "", ""},
		{nil, "", Usage, false, "", "usage: d -settings FILE"},
		{[]string{"-settings", "bad"}, "", Usage, false, "", "bad: line 3"},
		{[]string{"-settings", "good", "-check"}, "", Stopped, false, "good: no faults", ""},
		{[]string{"-settings", "bad", "-check"}, "", Usage, false, "", "bad: line 3"},
		{[]string{"-version"}, "", Stopped, false, "d ", ""},
		{[]string{"-settings", "good", "more"}, "", Usage, false, "", "usage"},
		{[]string{"-unknown"}, "good", Usage, false, "", "unknown"},
	} {
		var out, errs strings.Builder
		started := false
		code := Run(Daemon{Name: "d", File: c.file, Out: &out, Err: &errs}, c.args, func(file string) (int, error) {
			if file != "good" {
				return 0, errors.New(file + ": line 3")
			}
			return 7, nil
		}, func(file string, s int) int {
			started = file == "good" && s == 7
			return Stopped
		})
		assert.Equal(t, code, c.code, "%v", c.args)
		assert.Equal(t, started, c.started, "%v", c.args)
		assert.Check(t, strings.Contains(out.String(), c.out) && strings.Contains(errs.String(), c.err), "%v: %q, %q", c.args, out.String(), errs.String())
	}
}

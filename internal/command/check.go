package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"shallotrun/core/document"
)

// Exit codes of check. They differ from those of the other commands, so that a script can tell a file that needs a look from one that
// could not be checked.
const (
	exitChecked    = 0 // no fault and no finding; differences are none
	exitFound      = 1 // faults or findings
	exitNotChecked = 2 // wrong arguments, or the file or the document in force could not be read
)

// checkResult is the JSON output of check.
type checkResult struct {
	Outcome  string            `json:"outcome"` // checked, found or failed
	Error    string            `json:"error,omitempty"`
	Findings []locatedFinding  `json:"findings,omitempty"`
	Revision uint64            `json:"revision,omitempty"` // of the document in force, if it was compared
	Changes  []document.Change `json:"changes,omitempty"`  // from the document in force to the file
}

// locatedFinding is a finding or a fault with its line in the file, 0 if it has none.
type locatedFinding struct {
	Line int `json:"line,omitempty"`
	document.Finding
}

// faultKind is the kind of a finding that makes the document invalid.
const faultKind document.FindingKind = "fault"

// check reports the faults of a file, what in it never takes effect, and what differs from the document in force if the platform's address
// is known.
func (c *Command) check(ctx context.Context) error {
	result, err := c.checkFile(ctx, c.args[1])
	code := exitChecked
	switch {
	case err != nil:
		result.Outcome, result.Error, code = "failed", err.Error(), exitNotChecked
	case len(result.Findings) > 0:
		result.Outcome, code = "found", exitFound
	default:
		result.Outcome = "checked"
	}
	c.printCheck(result)
	return exitStatus{code}
}

func (c *Command) checkFile(ctx context.Context, file string) (result checkResult, err error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return result, err
	}
	lines := document.Lines(raw)
	d, err := document.Parse(raw)
	var invalid document.Faults
	switch {
	case errors.As(err, &invalid):
		for _, f := range invalid {
			result.Findings = append(result.Findings, locatedFinding{lineOf(lines, f.Path), document.Finding{Kind: faultKind, Fault: f}})
		}
		return result, nil
	case err != nil:
		return result, err
	}
	for _, f := range document.Review(d) {
		result.Findings = append(result.Findings, locatedFinding{lineOf(lines, f.Path), f})
	}
	if c.platform == "" {
		return result, nil
	}
	now, err := c.writer.Read(ctx)
	if err != nil {
		return result, wrap(err, "the document in force could not be read")
	}
	result.Revision, result.Changes = now.Revision, document.Diff(now.Document, d)
	return result, nil
}

// lineOf returns the line of a path, or of the nearest value around it: a field that is missing has no line.
func lineOf(lines map[string]int, path string) int {
	for {
		if n, ok := lines[path]; ok || path == "" {
			return n
		}
		path = document.Parent(path)
	}
}

func (c *Command) printCheck(result checkResult) {
	if c.json {
		c.printValue(result)
		return
	}
	for _, f := range result.Findings {
		_, _ = fmt.Fprintf(c.Out, "%s:%d: %s: %s\n", c.args[1], f.Line, f.Kind, f.String())
	}
	if result.Error != "" {
		_, _ = fmt.Fprintln(c.Err, "shallotctl: "+result.Error)
		return
	}
	_, _ = fmt.Fprintf(c.Out, "%s: %d finding(s)\n", c.args[1], len(result.Findings))
	if result.Revision != 0 {
		_, _ = fmt.Fprintf(c.Out, "%d difference(s) from revision %d\n", len(result.Changes), result.Revision)
	}
	c.printChanges(result.Changes)
}

package command

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/io/operator"
)

// outcomeNames holds the outcomes in JSON output by exit code.
var outcomeNames = []string{"done", "failed", "usage", "invalid", "conflict", "unavailable", "unknown", "different", "attention"}

// outcome is the JSON output of every command.
type outcome struct {
	Outcome  string             `json:"outcome"`
	Revision uint64             `json:"revision,omitempty"`
	Error    string             `json:"error,omitempty"`
	Faults   []document.Fault   `json:"faults,omitempty"`
	Ours     []document.Change  `json:"ours,omitempty"`
	Theirs   []document.Change  `json:"theirs,omitempty"`
	Document *document.Document `json:"document,omitempty"`
	Fleet    *operator.Fleet    `json:"fleet,omitempty"`
	Missing  []string           `json:"missing,omitempty"` // entry VMs that did not answer, with the reason
}

// printResult prints o as JSON if -json is set, otherwise the formatted text.
func (c *Command) printResult(o outcome, format string, args ...any) {
	if c.json {
		c.printJSON(o)
		return
	}
	_, _ = fmt.Fprintf(c.Out, format+"\n", args...)
}

func (c *Command) printJSON(o outcome) { c.printValue(o) }

// printValue prints a value as JSON.
func (c *Command) printValue(o any) {
	enc := json.NewEncoder(c.Out)
	enc.SetIndent("", "  ")
	// There is no place to report a failed write to the output.
	_ = enc.Encode(o)
}

func (c *Command) printChanges(l []document.Change) {
	if c.json {
		return
	}
	for _, x := range l {
		_, _ = fmt.Fprintln(c.Out, "  "+x.String())
	}
}

func (c *Command) printFleet(o outcome, now clock.Time) {
	if c.json {
		c.printJSON(o)
		return
	}
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	f := o.Fleet
	_, _ = fmt.Fprintf(w, "newest revision %d by %s\n", f.Newest.Revision, quote(f.Newest.Author))
	if o.Revision != 0 {
		_, _ = fmt.Fprintf(w, "accepted revision %d\n", o.Revision)
	}
	_, _ = fmt.Fprintln(w, "DOMAIN\tVM\tREVISION\tSINCE\tBY\tSTATE\tHEARD")
	for _, d := range f.Domains {
		_, _ = fmt.Fprintf(w, "%s\t(%d VMs)\t%d\t%s\t%s\t%d lag(s)\t\n", quote(d.Name), len(d.VMs), d.Config.Revision, formatTime(d.Config.Since), quote(d.Config.Author), d.Lagging)
		for _, r := range d.VMs {
			state := quote(r.State)
			if r.Lagging {
				state += ", lags"
			}
			_, _ = fmt.Fprintf(w, "\t%s\t%d\t%s\t%s\t%s\t%d ms ago\n", quote(r.VM), r.Config.Revision, formatTime(r.Config.Since), quote(r.Config.Author), state, max(0, now.Sub(r.LastSeen)))
		}
	}
	for _, h := range f.Halts {
		_, _ = fmt.Fprintf(w, "halted\t%s@%s\tsince %s: %s\n", quote(h.Model), quote(h.Version), formatTime(h.At), quote(h.Reason))
	}
	if f.Refused != nil {
		_, _ = fmt.Fprintf(w, "refused\trevision %d: %s\n", f.Refused.Revision, quote(f.Refused.Reason))
	}
	for _, m := range o.Missing {
		_, _ = fmt.Fprintf(w, "no answer\t%s\n", quote(m))
	}
	_ = w.Flush()
}

func formatTime(t clock.Time) string {
	if t == 0 {
		return "-"
	}
	return t.Std().UTC().Format("2006-01-02T15:04:05.000Z")
}

// quote escapes control characters, because the operator's terminal would interpret them.
func quote(s string) string {
	q := fmt.Sprintf("%q", s)
	if s == "" || q[1:len(q)-1] != s {
		return q
	}
	return s
}

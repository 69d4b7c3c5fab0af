package verdict

import (
	"fmt"
	"slices"
	"strings"

	"shallotrun/internal/load"
	"shallotrun/internal/standin/ledger"
)

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee string
	Text      string
}

// Report is the result of a check.
type Report struct {
	Requests, Answered, Refused, Broken int
	Billed                              int // distinct requests with a bill
	Unbilled                            int // answered requests without a bill, excused by a DoubleFailure
	Duplicates                          int // bills beyond the first of a request, and runs beyond the first of a call
	Violations                          []Violation
}

// Guarantees that Check covers, in the order of the design page.
var Guarantees = []string{"P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9", "P10"}

// checker holds the evidence, indexed by the keys by which its records are matched, and the report.
type checker struct {
	Evidence
	Report
	prompts map[string]load.Record    // by prompt identity
	runs    map[string][]ledger.Entry // engine runs by prompt identity
	calls   map[string][]ledger.Entry // service runs by item
	bills   map[string][]Bill         // by request id
}

// Check checks the evidence against all Guarantees. The violations are sorted by guarantee.
func Check(e Evidence) Report {
	x := &checker{
		Evidence: e, prompts: map[string]load.Record{}, runs: map[string][]ledger.Entry{},
		calls: map[string][]ledger.Entry{}, bills: map[string][]Bill{},
	}
	x.buildIndex()
	x.checkEngines()
	x.checkRecords()
	x.checkBills()
	x.checkDuplicateRuns()
	x.checkStops()
	slices.SortStableFunc(x.Violations, func(a, b Violation) int { return strings.Compare(a.Guarantee, b.Guarantee) })
	return x.Report
}

// Count returns the number of violations of a guarantee.
func (r Report) Count(guarantee string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Guarantee == guarantee {
			n++
		}
	}
	return n
}

func (x *checker) add(guarantee, format string, args ...any) {
	x.Violations = append(x.Violations, Violation{guarantee, fmt.Sprintf(format, args...)})
}

func (x *checker) buildIndex() {
	for _, r := range x.Records {
		x.Requests++
		switch r.Outcome {
		case load.Answered:
			x.Answered++
		case load.Refused:
			x.Refused++
		default:
			x.Broken++
		}
		if r.PromptID != "" {
			x.prompts[r.PromptID] = r
		}
	}
	for _, e := range x.Engines {
		if e.Kind == "generate" && (e.Outcome == "run" || e.Outcome == "failed") {
			x.runs[e.Key] = append(x.runs[e.Key], e)
		}
	}
	for _, e := range x.Services {
		if e.Outcome == "ran" {
			x.calls[e.Name] = append(x.calls[e.Name], e)
		}
	}
	for _, b := range x.Bills {
		x.bills[b.Request] = append(x.bills[b.Request], b)
	}
}

// checkEngines checks P1, P2, P8 and P10 on the log entries of engines.
func (x *checker) checkEngines() {
	for prompt, es := range x.runs {
		r, known := x.prompts[prompt]
		for _, e := range es {
			switch {
			case !known:
				x.add("P1", "%s ran request %s that no caller sent", e.Name, e.Request)
			case !x.Allowed(r.Tenant, e.Model, e.Version):
				x.add("P1", "%s ran %s@%s for %s (request %s)", e.Name, e.Model, e.Version, r.Tenant, e.Request)
			}
			for _, w := range x.Withdrawn {
				if e.Model == w.Model && e.Version == w.Version && w.At.Before(e.At) {
					x.add("P2", "%s ran %s@%s %d ms after it had to be out (request %s)", e.Name, e.Model, e.Version, e.At.Sub(w.At), e.Request)
				}
			}
		}
	}
	for _, c := range x.Reroutes {
		for prompt, es := range x.runs {
			for _, e := range es {
				if x.prompts[prompt].Model == c.Route && e.Model != c.Model && c.At.Before(e.At) {
					x.add("P10", "%s ran %s for route %s %d ms after the bound", e.Name, e.Model, c.Route, e.At.Sub(c.At))
				}
			}
		}
	}
	for _, l := range x.Leaves {
		for _, e := range x.Engines {
			if e.Name == l.Name && e.Kind == "generate" && e.Outcome != "attach" && l.At.Before(e.At) && !x.delayed(e, l) {
				x.add("P8", "%s got request %s %d ms after the bound", l.Name, e.Request, e.At.Sub(l.At))
			}
		}
	}
}

// delayed reports whether a call was sent before the bound and delayed by the network, which is so if the caller's request had
// ended by then.
func (x *checker) delayed(e ledger.Entry, l Leave) bool {
	r, ok := x.prompts[e.Key]
	return ok && r.SentAt.Add(r.TotalLatency).Before(l.At)
}

// checkRecords checks P3, P5 and P6 on the answers that callers got.
func (x *checker) checkRecords() {
	for _, r := range x.Records {
		switch {
		case strings.HasPrefix(r.Wrong, "the session moved"):
			x.add("P3", "request %s: %s", r.Item, r.Wrong)
		case r.Wrong != "":
			x.add("P5", "request %s (%v): %s", r.Item, r.RequestIDs, r.Wrong)
		case r.Outcome == load.Answered && !r.Complete:
			x.add("P5", "request %s (%v): answer not whole", r.Item, r.RequestIDs)
		}
		if r.Outcome != load.Answered && r.Ran == "not run" {
			x.checkNotRun(r)
		}
	}
}

// checkNotRun checks a refusal that states that the request did not run. After a resume this holds only for the last attempt,
// which the request id distinguishes from the earlier ones.
func (x *checker) checkNotRun(r load.Record) {
	last := ""
	if n := len(r.RequestIDs); n > 0 {
		last = r.RequestIDs[n-1]
	}
	for _, e := range slices.Concat(x.runs[r.PromptID], x.calls[r.Item]) {
		if r.Resumes == 0 || last != "" && e.Request == last {
			x.add("P6", "request %s (%v) was refused as not run with %s but ran at %s", r.Item, r.RequestIDs, r.Code, e.Name)
			return
		}
	}
}

// checkBills checks P4: an answered request has exactly one bill, any request at most one.
func (x *checker) checkBills() {
	x.Billed = len(x.bills)
	for _, r := range x.Records {
		ids := slices.Compact(slices.Sorted(slices.Values(r.RequestIDs)))
		var in []string
		for _, id := range ids {
			for _, b := range x.bills[id] {
				in = append(in, b.Object)
				if b.Workspace != r.Tenant {
					x.add("P4", "request %s of %s is billed to %s", id, r.Tenant, b.Workspace)
				}
			}
		}
		switch {
		case len(in) > 1:
			x.Duplicates += len(in) - 1
			x.add("P4", "request %s (%v) is billed %d times: %v", r.Item, ids, len(in), in)
		case len(in) == 0 && r.Outcome == load.Answered && x.mayLackBill(r):
			x.Unbilled++
		case len(in) == 0 && r.Outcome == load.Answered:
			x.add("P4", "request %s (%v) at %s was answered and is not billed", r.Item, ids, r.Target)
		}
	}
	known := map[string]bool{}
	for _, r := range x.Records {
		for _, id := range r.RequestIDs {
			known[id] = true
		}
	}
	for id, bs := range x.bills {
		if len(bs) > 1 && !known[id] {
			x.Duplicates += len(bs) - 1
			x.add("P4", "request %s is billed %d times", id, len(bs))
		}
	}
}

// mayLackBill reports whether the bill of a request may be missing because its entry VM failed together with another one.
func (x *checker) mayLackBill(r load.Record) bool {
	end := r.SentAt.Add(r.TotalLatency)
	for _, l := range x.DoubleFailures {
		if r.Target == l.Target && l.From.Before(end) && end.Before(l.To) {
			return true
		}
	}
	return false
}

// checkDuplicateRuns checks P7 on the log entries of services.
func (x *checker) checkDuplicateRuns() {
	for item, es := range x.calls {
		n := 0
		var where []string
		for _, e := range es {
			if e.Kind == "tag" || e.Kind == "dispatch" {
				n++
				where = append(where, fmt.Sprintf("%s at %d", e.Request, e.At))
			}
		}
		if n > 1 {
			x.Duplicates += n - 1
			x.add("P7", "item %s ran %d times: %v", item, n, where)
		}
	}
}

// checkStops checks P9: an entry VM that stops as planned ends with code 0 and breaks no request.
func (x *checker) checkStops() {
	for _, s := range x.Stops {
		if s.Code != 0 {
			x.add("P9", "%s ended with code %d", s.Name, s.Code)
		}
		for _, r := range x.Records {
			for _, b := range r.Breaks {
				// An error event with a code other than "stopping" is caused by a backend server, and a caller's
				// timeout by a slow answer.
				own := !b.TimedOut && (b.Code == "" || b.Code == "stopping")
				if b.Target == s.Target && own && s.From.Before(b.At) {
					x.add("P9", "request %s at %s broke %d ms after the stop began: %s", r.Item, s.Name, b.At.Sub(s.From), b.Error)
				}
			}
		}
	}
}

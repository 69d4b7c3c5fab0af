package proof

import (
	"fmt"
	"io"

	"shallotrun/internal/load"
	"shallotrun/internal/verdict"
)

// print writes a line for each guarantee that the case exercised, with five of its violations at most, and returns how many
// guarantees held and how many failed. A case that could not run is one failure.
func (r result) print(w io.Writer) (held, failed int) {
	if r.err != nil {
		fmt.Fprintf(w, "proof all %s seed=%d failed could not run: %v (logs: %s)\n", r.testCase, r.seed, r.err, r.dir)
		return 0, 1
	}
	for _, g := range verdict.Guarantees {
		n, text := r.summary(g)
		bad := r.report.Count(g)
		if n == 0 && bad == 0 {
			continue // the case did not exercise the guarantee
		}
		word := "held"
		if bad > 0 {
			word = "failed"
			failed++
		} else {
			held++
		}
		fmt.Fprintf(w, "proof %s %s seed=%d %s %s violations=%d\n", g, r.testCase, r.seed, word, text, bad)
		shown := 0
		for _, v := range r.report.Violations {
			if v.Guarantee == g && shown < 5 {
				shown++
				fmt.Fprintf(w, "  %s\n", v.Text)
			}
		}
	}
	if r.dir != "" {
		fmt.Fprintf(w, "  logs: %s\n", r.dir)
	}
	return held, failed
}

// summary returns how often the case exercised a guarantee, and the figures to print. 0 means that it did not.
func (r result) summary(g string) (int, string) {
	e, p := r.evidence, r.report
	switch g {
	case "P1":
		n := len(e.Engines)
		return n, fmt.Sprintf("calls=%d", n)
	case "P2":
		return len(e.Withdrawn), fmt.Sprintf("withdrawn=%d", len(e.Withdrawn))
	case "P3":
		n := r.count(func(x load.Record) bool { return x.Session != "" && x.Outcome == load.Answered })
		return n, fmt.Sprintf("answers=%d", n)
	case "P4":
		return p.Answered, fmt.Sprintf("answered=%d billed=%d duplicates=%d lost=%d", p.Answered, p.Billed, p.Duplicates, p.Unbilled)
	case "P5":
		n := r.count(func(x load.Record) bool { return x.Resumes > 0 && x.Outcome == load.Answered && x.Stream })
		return p.Answered, fmt.Sprintf("answered=%d continued=%d broken=%d", p.Answered, n, p.Broken)
	case "P6":
		n := r.count(func(x load.Record) bool { return x.Outcome == load.Refused && x.Ran == "not run" })
		return n, fmt.Sprintf("refusals=%d", n)
	case "P7":
		n := r.count(func(x load.Record) bool { return x.Kind == load.KindTag || x.Kind == load.KindDispatch })
		again := r.count(func(x load.Record) bool { return x.Key != "" && x.Resumes > 0 })
		return n, fmt.Sprintf("calls=%d repeated=%d", n, again)
	case "P8":
		return len(e.Leaves), fmt.Sprintf("leaving=%d", len(e.Leaves))
	case "P9":
		n := 0
		for _, s := range e.Stops {
			n += r.count(func(x load.Record) bool {
				return x.Target == s.Target && x.SentAt.Before(s.From) && s.From.Before(x.SentAt.Add(x.TotalLatency))
			})
		}
		return len(e.Stops), fmt.Sprintf("stops=%d underway=%d", len(e.Stops), n)
	case "P10":
		return len(e.Reroutes), fmt.Sprintf("changes=%d", len(e.Reroutes)+len(e.Withdrawn))
	}
	return 0, ""
}

func (r result) count(match func(load.Record) bool) int {
	n := 0
	for _, x := range r.evidence.Records {
		if match(x) {
			n++
		}
	}
	return n
}

package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotrun/core/clock"
)

// Summarize returns a summary for each rank, for each tenant, for each pair of both, and for all records, sorted by rank and tenant.
func Summarize(rs []Record) []Summary {
	type group struct {
		Summary
		first, total *hdrhistogram.Histogram
	}
	groups := map[[2]string]*group{}
	for _, r := range rs {
		for _, k := range [][2]string{{r.Rank, r.Tenant}, {r.Rank, ""}, {"", r.Tenant}, {"", ""}} {
			g := groups[k]
			if g == nil {
				g = &group{Summary: Summary{Rank: k[0], Tenant: k[1]}, first: newHistogram(), total: newHistogram()}
				groups[k] = g
			}
			g.Count++
			switch r.Outcome {
			case Answered:
				g.Answered++
				g.first.RecordValue(int64(r.FirstLatency))
				g.total.RecordValue(int64(r.TotalLatency))
			case Refused:
				g.Refused++
			case Broken:
				g.Broken++
			}
			if r.Wrong != "" {
				g.Wrong++
			}
		}
	}
	sums := make([]Summary, 0, len(groups))
	for _, g := range groups {
		quantile := func(h *hdrhistogram.Histogram, q float64) clock.Span { return clock.Span(h.ValueAtQuantile(q)) }
		g.First50, g.First95, g.First99 = quantile(g.first, 50), quantile(g.first, 95), quantile(g.first, 99)
		g.Total50, g.Total95 = quantile(g.total, 50), quantile(g.total, 95)
		sums = append(sums, g.Summary)
	}
	slices.SortFunc(sums, func(a, b Summary) int {
		return strings.Compare(rankSortKey(a.Rank)+a.Tenant, rankSortKey(b.Rank)+b.Tenant)
	})
	return sums
}

// Print writes the summaries for which keep returns true as a table. Times are in milliseconds.
func Print(w io.Writer, sums []Summary, keep func(Summary) bool) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "rank\ttenant\tcount\tanswered\trefused\tbroken\twrong\tfirst p50\tp95\tp99\ttotal p50\tp95\t")
	for _, s := range sums {
		if !keep(s) {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", orAll(s.Rank), orAll(s.Tenant), s.Count, s.Answered,
			s.Refused, s.Broken, s.Wrong, s.First50, s.First95, s.First99, s.Total50, s.Total95)
	}
	t.Flush()
}

// newHistogram returns a histogram for times of up to 10 minutes, in milliseconds with 3 significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(0, 10*int64(clock.Minute), 3) }

func orAll(s string) string {
	if s == "" {
		return "all"
	}
	return s
}

// rankSortKey returns a key that sorts ranks by urgency, with the summary of all ranks last.
func rankSortKey(rank string) string {
	switch rank {
	case "urgent":
		return "0"
	case "normal":
		return "1"
	case "batch":
		return "2"
	}
	return "3"
}

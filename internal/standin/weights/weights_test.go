package weights

import (
	"strings"
	"testing"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"shallotrun/internal/standin/ledger"
)

// Guards against an engine that takes weights for fetched though the store refused them each time, and against one that does not try
// again.
func TestFetch(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit *rate.Limiter
		fault string
		want  string // part of the error, "" for none
	}{
		{"fetched", rate.NewLimiter(rate.Inf, 1), "", ""},
		{"limited each time", rate.NewLimiter(1, 0), "", "429"},
		{"down", rate.NewLimiter(rate.Inf, 1), "down", "503"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := &Weights{Ledger: &ledger.Ledger{}, Limit: c.limit}
			w.Ledger.Faults.Names = Faults
			if c.fault != "" {
				assert.NilError(t, w.Ledger.Faults.Set(ledger.Fault{Fault: c.fault}))
			}
			ln, err := ledger.Listen("127.0.0.1:0")
			assert.NilError(t, err)
			go ledger.Serve(t.Context(), ln, w.Handler)
			err = Fetch(ln.Addr().String())("m@1")
			assert.Check(t, (err == nil) == (c.want == ""), "%v", err)
			assert.Check(t, err == nil || strings.Contains(err.Error(), c.want), "%v", err)
			assert.Equal(t, len(w.Ledger.Entries(0)) == 1, c.want == "")
		})
	}
}

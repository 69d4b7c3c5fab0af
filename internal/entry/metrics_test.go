package entry

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// Guards against metrics that operators cannot look up.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	assert.NilError(t, err)
	name := regexp.MustCompile(`fqName: "(\w+)"`)
	descs := make(chan *prometheus.Desc, 100)
	for _, c := range newMetrics().all(&Daemon{}) {
		c.Describe(descs)
	}
	close(descs)
	for d := range descs {
		m := name.FindStringSubmatch(d.String())
		assert.Assert(t, m != nil, d.String())
		assert.Check(t, regexp.MustCompile("`"+m[1]+"`").Match(page), m[1])
	}
}

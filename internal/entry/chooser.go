package entry

import (
	"math/rand/v2"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/cascade"
	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/route"
)

// cascadeChooser makes a chooser safe for concurrent use.
type cascadeChooser struct {
	clock   clock.Clock
	mu      sync.Mutex
	chooser cascade.Chooser
}

func newCascadeChooser(p cascade.Policy, c clock.Clock) *cascadeChooser {
	return &cascadeChooser{clock: c, chooser: cascade.Chooser{Policy: p, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}}
}

func (c *cascadeChooser) begin(req cascade.Request) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooser.Begin(c.clock.Now(), req)
}

func (c *cascadeChooser) judge(req cascade.Request, stage, rating int) (accept bool, next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooser.Judge(c.clock.Now(), req, stage, rating)
}

func (c *cascadeChooser) judgeUnrated(req cascade.Request, stage int, waited bool) (accept bool, next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooser.JudgeUnrated(c.clock.Now(), req, stage, waited)
}

func (c *cascadeChooser) learnLate(req cascade.Request, stage, rating int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.LearnLate(c.clock.Now(), req, stage, rating)
}

func (c *cascadeChooser) recordTimely(req cascade.Request, timely bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooser.RecordTimely(c.clock.Now(), req, timely)
}

func (c *cascadeChooser) shouldWait(req cascade.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooser.ShouldWait(c.clock.Now(), req)
}

func (c *cascadeChooser) shouldSample() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooser.ShouldSample()
}

func (c *cascadeChooser) size() (cascades, kinds int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chooser.Size()
}

// newCascadeRequest returns the request to the chooser.
func newCascadeRequest(t *route.Table, workspace string, c *document.Cascade, stages []route.Target, prompt string) cascade.Request {
	req := cascade.Request{
		Cascade: c.Name, Target: c.Quality, AcceptUnrated: c.Down == document.DownFirst,
		Kind: cascade.KindOf(workspace, len(prompt)),
	}
	for _, s := range stages {
		cost := 0.0
		if v := t.Version(s); v != nil {
			cost = float64(v.Cost)
		}
		req.Costs = append(req.Costs, cost)
	}
	return req
}

// cascadeCollector collects the size of the chooser's state and the number of ratings in flight.
type cascadeCollector struct{ d *Daemon }

var (
	descCascades    = prometheus.NewDesc("shallot_cascades", "Cascades for which ratings are kept.", nil, nil)
	descKinds       = prometheus.NewDesc("shallot_cascade_kinds", "Kinds of requests for which ratings are kept, over all stages.", nil, nil)
	descLateRatings = prometheus.NewDesc("shallot_ratings_open", "Ratings that are awaited.", nil, nil)
)

// Describe implements [prometheus.Collector].
func (c cascadeCollector) Describe(out chan<- *prometheus.Desc) {
	out <- descCascades
	out <- descKinds
	out <- descLateRatings
}

// Collect implements [prometheus.Collector].
func (c cascadeCollector) Collect(out chan<- prometheus.Metric) {
	cascades, kinds := c.d.chooser.size()
	out <- prometheus.MustNewConstMetric(descCascades, prometheus.GaugeValue, float64(cascades))
	out <- prometheus.MustNewConstMetric(descKinds, prometheus.GaugeValue, float64(kinds))
	out <- prometheus.MustNewConstMetric(descLateRatings, prometheus.GaugeValue, float64(c.d.ratings.openLate()))
}

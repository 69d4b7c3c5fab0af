package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/work"
)

// metrics are the counters of the request path. Labels never carry values that a caller chooses: models,
// versions and codes come from the document and from this program.
type metrics struct {
	requests *prometheus.CounterVec // kind, rank
	refusals *prometheus.CounterVec // code
	attempts *prometheus.CounterVec // model, version, result
	tokens   *prometheus.CounterVec // model, version
	ratings  *prometheus.CounterVec // result
	starts   *prometheus.CounterVec // cascade, stage
	resumes  prometheus.Counter
	retries  prometheus.Counter
	hedges   prometheus.Counter
	gone     prometheus.Counter
	open     prometheus.Gauge
	first    *prometheus.HistogramVec // rank
	queued   *prometheus.HistogramVec // rank
}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	span := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"rank"})
	}
	m := &metrics{
		requests: counter("shallot_requests_total", "Requests accepted from callers.", "kind", "rank"),
		refusals: counter("shallot_refusals_total", "Requests refused.", "code"),
		attempts: counter("shallot_attempts_total", "Attempts at backend servers.", "model", "version", "result"),
		tokens:   counter("shallot_tokens_total", "Tokens of finished attempts.", "model", "version"),
		ratings:  counter("shallot_ratings_total", "Answers of cascade stages by what their rating led to.", "result"),
		starts:   counter("shallot_cascade_starts_total", "Requests to cascades by the stage that they start with.", "cascade", "stage"),
		resumes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_resumes_total", Help: "Streams resumed on a new connection."}),
		retries:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_retries_total", Help: "Attempts on another server."}),
		hedges:   prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_hedges_total", Help: "Second attempts beside a slow first one."}),
		gone:     prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gone_total", Help: "Requests whose caller went away."}),
		open:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "shallot_open", Help: "Requests that are open."}),
		first:    span("shallot_first_seconds", "Time to the first token."),
		queued:   span("shallot_queue_seconds", "Time in the queue."),
	}
	return m
}

// all lists the metrics, with the state of the daemon's pools.
func (m *metrics) all(d *Daemon) []prometheus.Collector {
	return []prometheus.Collector{
		m.requests, m.refusals, m.attempts, m.tokens, m.ratings, m.starts, m.resumes, m.retries, m.hedges, m.gone, m.open, m.first, m.queued, pools{d}, learning{d},
	}
}

// pools reads the state of the pools when metrics are collected.
type pools struct{ d *Daemon }

var (
	descWaiting = prometheus.NewDesc("shallot_waiting", "Requests that wait for a backend server.", []string{"pool", "rank"}, nil)
	descRunning = prometheus.NewDesc("shallot_running", "Requests of this VM that run at backend servers.", []string{"pool"}, nil)
	descServers = prometheus.NewDesc("shallot_servers", "Backend servers that get new work.", []string{"pool"}, nil)
)

// Describe implements [prometheus.Collector].
func (c pools) Describe(out chan<- *prometheus.Desc) {
	out <- descWaiting
	out <- descRunning
	out <- descServers
}

// Collect implements [prometheus.Collector].
func (c pools) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, n int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
	}
	for _, p := range c.d.all() {
		waiting, running, servers := p.state()
		for r, n := range waiting {
			gauge(descWaiting, n, p.name, work.Rank(r).String())
		}
		gauge(descRunning, running, p.name)
		gauge(descServers, servers, p.name)
	}
}

func (m *metrics) attempt(r work.Result) {
	result := "ok"
	switch {
	case r.Refused:
		result = "refused"
	case r.Failed:
		result = "failed"
	}
	m.attempts.WithLabelValues(r.Model, r.Version, result).Inc()
	m.tokens.WithLabelValues(r.Model, r.Version).Add(float64(r.Tokens))
}

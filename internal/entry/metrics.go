package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/work"
)

// metrics are the metrics of the request path. A label never has a value that a caller chooses: models, versions and codes
// come from the document and from this program.
type metrics struct {
	requests      *prometheus.CounterVec // kind, rank
	refusals      *prometheus.CounterVec // code
	attempts      *prometheus.CounterVec // model, version, result
	tokens        *prometheus.CounterVec // model, version
	ratings       *prometheus.CounterVec // result
	cascadeStarts *prometheus.CounterVec // cascade, stage
	resumes       prometheus.Counter
	retries       prometheus.Counter
	hedges        prometheus.Counter
	callersGone   prometheus.Counter
	openRequests  prometheus.Gauge
	firstToken    *prometheus.HistogramVec // rank
	queued        *prometheus.HistogramVec // rank
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
		requests:      counter("shallot_requests_total", "Requests accepted from callers.", "kind", "rank"),
		refusals:      counter("shallot_refusals_total", "Requests refused.", "code"),
		attempts:      counter("shallot_attempts_total", "Attempts at backend servers.", "model", "version", "result"),
		tokens:        counter("shallot_tokens_total", "Tokens of finished attempts.", "model", "version"),
		ratings:       counter("shallot_ratings_total", "Answers of cascade stages by what their rating led to.", "result"),
		cascadeStarts: counter("shallot_cascade_starts_total", "Requests to cascades by the stage that they start with.", "cascade", "stage"),
		resumes:       prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_resumes_total", Help: "Streams resumed on a new connection."}),
		retries:       prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_retries_total", Help: "Attempts on another server."}),
		hedges:        prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_hedges_total", Help: "Second attempts beside a slow first one."}),
		callersGone:   prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gone_total", Help: "Requests whose caller went away."}),
		openRequests:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "shallot_open", Help: "Requests that are open."}),
		firstToken:    span("shallot_first_seconds", "Time to the first token."),
		queued:        span("shallot_queue_seconds", "Time in the queue."),
	}
	return m
}

// collectors returns all collectors, including those of the pools and cascades of d.
func (m *metrics) collectors(d *Daemon) []prometheus.Collector {
	return []prometheus.Collector{
		m.requests, m.refusals, m.attempts, m.tokens, m.ratings, m.cascadeStarts, m.resumes, m.retries, m.hedges, m.callersGone,
		m.openRequests, m.firstToken, m.queued, poolCollector{d}, cascadeCollector{d},
	}
}

// poolCollector collects the numbers of waiting and running requests and of live servers of each pool.
type poolCollector struct{ d *Daemon }

var (
	descWaiting = prometheus.NewDesc("shallot_waiting", "Requests that wait for a backend server.", []string{"pool", "rank"}, nil)
	descRunning = prometheus.NewDesc("shallot_running", "Requests of this VM that run at backend servers.", []string{"pool"}, nil)
	descServers = prometheus.NewDesc("shallot_servers", "Backend servers that get new work.", []string{"pool"}, nil)
)

// Describe implements [prometheus.Collector].
func (c poolCollector) Describe(out chan<- *prometheus.Desc) {
	out <- descWaiting
	out <- descRunning
	out <- descServers
}

// Collect implements [prometheus.Collector].
func (c poolCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, n int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
	}
	for _, p := range c.d.allPools() {
		waiting, running, servers := p.counts()
		for r, n := range waiting {
			gauge(descWaiting, n, p.name, work.Rank(r).String())
		}
		gauge(descRunning, running, p.name)
		gauge(descServers, servers, p.name)
	}
}

// recordAttempt records the result of an attempt.
func (m *metrics) recordAttempt(r work.Result) {
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

package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/work"
)

// metrics are the counters of the request path. Labels never carry values that a caller chooses.
type metrics struct {
	answers  *prometheus.CounterVec   // code: "served", or why not
	faults   *prometheus.CounterVec   // how
	seconds  *prometheus.HistogramVec // outcome
	first    prometheus.Histogram
	retries  prometheus.Counter
	resumes  prometheus.Counter
	open     prometheus.Gauge
	attempts prometheus.Counter
	reports  prometheus.Counter
	dropped  prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 14)
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallot_gateway_answers_total", Help: "Final answers by outcome."}, []string{"code"}),
		faults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shallot_gateway_faults_total", Help: "Failed attempts by what is known about them."}, []string{"how"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shallot_gateway_seconds", Help: "Time to the final answer.", Buckets: buckets}, []string{"outcome"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallot_gateway_first_seconds", Help: "Time to the first byte of an attempt's answer.", Buckets: buckets}),
		retries:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_retries_total", Help: "Attempts after a failed one."}),
		resumes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_resumes_total", Help: "Streams that went on at another server."}),
		open:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "shallot_gateway_open", Help: "Open requests."}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_attempts_total", Help: "Requests sent to backend servers."}),
		reports:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_reports_total", Help: "Reports asked of suspected servers."}),
		dropped:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_dropped_total", Help: "Answers dropped because the model was not sure."}),
	}
	if reg != nil {
		reg.MustRegister(m.answers, m.faults, m.seconds, m.first, m.retries, m.resumes, m.open, m.attempts, m.reports, m.dropped)
	}
	return m
}

// close writes the line and the figures of a request that ended: served if there is no refusal.
func (x *exchange) close(refusal *work.Refusal) {
	x.endTrace(refusal)
	now := x.g.Clock.Now()
	total := now.Sub(x.arrived)
	code, outcome := "served", "served"
	l := x.g.Log.Info()
	if refusal != nil {
		code, outcome = refusal.Code, "failed"
		l = x.g.Log.Warn().Int("status", refusal.Status).Str("ran", string(refusal.Ran)).Str("detail", refusal.Detail).Str("exhausted", x.exhausted)
	}
	x.g.metrics.answers.WithLabelValues(code).Inc()
	x.g.metrics.seconds.WithLabelValues(outcome).Observe(total.Std().Seconds())
	if x.route != nil {
		l.Str("route", x.route.Name)
	}
	if x.space != nil {
		l.Str("workspace", x.space.Name)
	}
	if t := x.g.State.Table(); t != nil {
		l.Uint64("config", t.Config.Version)
	}
	l.Str("request", x.request.ID).Str("code", code).Str("service", x.service).Str("server", x.server.ID).
		Str("version", x.server.Version).Str("model", x.model).Int("tries", x.tries).Int("events", x.events).
		Int64("backlog_ms", int64(x.backlog)).Int64("counts_ms", int64(x.counts)).
		Int64("first_ms", int64(x.first)).Int64("ms", int64(total)).Msg("gateway: request ended")
}

// log writes the line of a failed attempt.
func (x *exchange) log(f *Fault, why cause) {
	x.g.metrics.faults.WithLabelValues(f.How.String()).Inc()
	l := x.g.Log.Warn()
	if why == causeGone {
		l = x.g.Log.Info()
	}
	l.Str("request", x.request.ID).Str("server", x.server.ID).Str("addr", x.server.Addr).Str("how", f.How.String()).
		Stringer("ended", why).Err(f.Err).Int("try", x.tries).Int64("event", x.last).
		Int64("ms", int64(x.g.Clock.Now().Sub(x.begun))).Msg("gateway: attempt failed")
}

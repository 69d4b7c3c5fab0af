package gateway

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/quarantine"
	"shallotrun/core/work"
)

// metrics are the metrics of the request path. Label values are never chosen by a caller.
type metrics struct {
	answers          *prometheus.CounterVec   // label code: "served" or the code of the refusal
	faults           *prometheus.CounterVec   // label how: kind of the failure
	seconds          *prometheus.HistogramVec // label outcome: "served" or "failed"
	firstSeconds     prometheus.Histogram
	retries          prometheus.Counter
	resumes          prometheus.Counter
	open             prometheus.Gauge
	attempts         prometheus.Counter
	reports          prometheus.Counter
	dropped          prometheus.Counter
	serversEnded     prometheus.Counter
	endChecksDropped prometheus.Counter
	partsRefused     prometheus.Counter
	limitRefusals    prometheus.Counter
	notices          prometheus.Counter
	unreadEnded      prometheus.Counter
	withoutRoom      prometheus.Counter
	capacity         *prometheus.HistogramVec // label service; registered only if the capacity is learned
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
		firstSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "shallot_gateway_first_seconds", Help: "Time to the first byte of an attempt's answer.", Buckets: buckets}),
		retries:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_retries_total", Help: "Attempts after a failed one."}),
		resumes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_resumes_total", Help: "Streams that went on at another server."}),
		open:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "shallot_gateway_open", Help: "Open requests."}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_attempts_total", Help: "Requests sent to backend servers."}),
		reports:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_reports_total", Help: "Reports asked of suspected servers."}),
		dropped:  prometheus.NewCounter(prometheus.CounterOpts{Name: "shallot_gateway_dropped_total", Help: "Answers dropped because the model was not sure."}),
		endChecksDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_end_checks_dropped_total", Help: "Broken attempts for which it was not checked later whether their server has ended, as too many checks were pending."}),
		serversEnded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_servers_ended_total", Help: "Servers whose process ended before they began to answer a request of this VM, or as they began."}),
		partsRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_parts_refused_total", Help: "Attempts that were refused because servers end under prompts with the same part."}),
		limitRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_limit_refusals_total", Help: "Attempts that were not made because of the limits that servers name, or that cold ones have."}),
		notices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_notices_total", Help: "Answers in which a server said that it leaves, or takes nothing from this VM for a time."}),
		withoutRoom: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_without_room_total", Help: "Attempts sent to a server whose prompt memory had no room, as no other had."}),
		unreadEnded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallot_gateway_unread_ended_total", Help: "Answers that were ended because their callers read too slowly and others needed the memory."}),
		capacity: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "shallot_gateway_capacity", Help: "Learned capacity of a service's servers relative to the others, at each estimate.",
			Buckets: []float64{0.1, 0.2, 0.35, 0.5, 0.75, 0.9, 1.1, 1.5, 2}}, []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(
			m.answers, m.faults, m.seconds, m.firstSeconds, m.retries, m.resumes, m.open, m.attempts, m.reports, m.dropped, m.serversEnded, m.endChecksDropped,
			m.partsRefused, m.limitRefusals, m.notices, m.unreadEnded, m.withoutRoom,
		)
	}
	return m
}

// RecordUnread logs and counts a request that was refused because it could not be read.
func (g *Gateway) RecordUnread(id string, r *work.Refusal) {
	g.metrics.answers.WithLabelValues(r.Code).Inc()
	g.Log.Warn().Str("request", id).Str("code", r.Code).Int("status", r.Status).Str("ran", string(r.Ran)).Str("detail", r.Detail).
		Msg("gateway: request ended")
}

// recordEnd logs the end of a request and updates the metrics. Without a refusal the request is recorded as served.
func (x *exchange) recordEnd(refusal *work.Refusal) {
	x.endSpan(refusal)
	if refusal != nil {
		x.recordFirstCrash()
	}
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
	if x.workspace != nil {
		l.Str("workspace", x.workspace.Name)
	}
	if t := x.g.State.Table(); t != nil {
		l.Uint64("config", t.Config.Version)
	}
	l.Str("request", x.request.ID).Str("code", code).Str("service", x.service).Str("server", x.server.ID).
		Str("version", x.server.Version).Str("session", shorten(x.request.Session)).Str("model", x.model).Int("tries", x.attempts).Int("events", x.events).
		Int64("backlog_ms", int64(x.backlog)).Int64("counts_ms", int64(x.usageAge)).
		Int64("first_ms", int64(x.timeToFirst)).Int64("ms", int64(total)).Msg("gateway: request ended")
}

// recordFault logs a failed attempt and updates the metrics.
func (x *exchange) recordFault(f *Fault, why endCause, broke, serverEnded bool) {
	x.g.metrics.faults.WithLabelValues(f.Kind.String()).Inc()
	l := x.g.Log.Warn()
	if why == causeCallerGone {
		l = x.g.Log.Info()
	}
	if broke {
		l.Bool("server_ended", serverEnded).Strs("parts", x.sharedParts()).Str("same", x.wholeRequest())
		if body := x.bodyIdentity(); body != 0 {
			l.Str("same_body", quarantine.BodyName(body))
		}
	}
	l.Str("request", x.request.ID).Str("server", x.server.ID).Str("addr", x.server.Addr).Str("how", f.Kind.String()).
		Stringer("ended", why).Bool("head", x.headArrived).Err(f.Err).Int("try", x.attempts).Int64("event", x.lastEvent).
		Int("passed", x.passedEvents).
		Int64("ms", int64(x.g.Clock.Now().Sub(x.attemptStart))).Msg("gateway: attempt failed")
}

// ruleCollector exports the rules in force. Their number is bounded, so that of the label values is too.
type ruleCollector struct{ g *Gateway }

var ruleDesc = prometheus.NewDesc(
	"shallot_gateway_refused_part_servers", "Servers that ended under prompts with the parts, requests with which are refused.",
	[]string{"service", "parts"}, nil,
)

// Describe sends the description of the metric.
func (c *ruleCollector) Describe(ch chan<- *prometheus.Desc) { ch <- ruleDesc }

// Collect sends one value for each rule in force.
func (c *ruleCollector) Collect(ch chan<- prometheus.Metric) {
	for _, r := range c.g.State.Rules(c.g.Clock.Now()) {
		parts := strings.Join(r.Shown(), ",")
		ch <- prometheus.MustNewConstMetric(ruleDesc, prometheus.GaugeValue, float64(r.Servers), r.Service, parts)
	}
}

// limitCollector exports the number of servers that name a limit, and of those that are cold, by service.
type limitCollector struct{ g *Gateway }

var limitDesc = prometheus.NewDesc(
	"shallot_gateway_limited_servers", "Servers that name a limit on the rate of requests from all VMs.", []string{"service"}, nil,
)

// evacuatedGauge exports the number of evacuated failure domains.
func evacuatedGauge(g *Gateway) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "shallot_gateway_evacuated_domains", Help: "Failure domains that the operator has evacuated, as far as this VM knows.",
	}, func() float64 { return float64(g.State.EvacuatedDomains()) })
}

var coldDesc = prometheus.NewDesc(
	"shallot_gateway_cold_servers", "Servers that are cold and take few requests from all VMs.", []string{"service"}, nil,
)

// Describe sends the descriptions of the metrics.
func (c *limitCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- limitDesc
	ch <- coldDesc
}

// Collect sends one value for each service with such servers.
func (c *limitCollector) Collect(ch chan<- prometheus.Metric) {
	for service, n := range c.g.State.Limited() {
		ch <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(n), service)
	}
	for service, n := range c.g.State.Cold() {
		ch <- prometheus.MustNewConstMetric(coldDesc, prometheus.GaugeValue, float64(n), service)
	}
}

package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
	"shallotrun/core/work"
)

const (
	// maxSharedParts is the number of shared parts of a prompt that are considered, and maxPartLength the length of their
	// identifiers in bytes. Both bound what one caller can make this VM keep, log and tell others.
	maxSharedParts = 16
	maxPartLength  = 64
)

// sharedParts returns the identifiers of the prompt's parts that other requests may share: all but the last one.
func (x *exchange) sharedParts() []string {
	n := min(len(x.request.Parts)-1, maxSharedParts)
	if n <= 0 {
		return nil
	}
	out := make([]string, 0, n)
	for _, p := range x.request.Parts[:n] {
		out = append(out, p.ID[:min(len(p.ID), maxPartLength)])
	}
	return out
}

// serverEnded reports whether the process of the server has ended as it began to answer: the connection broke between the head
// of the answer and its first event, and the server's address refuses connections.
func (x *exchange) serverEnded(f *Fault, why endCause) bool {
	if f.Kind != OutcomeUnknown || why != causeNone || !x.headArrived || x.firstArrived {
		return false
	}
	if !x.g.Backend.Ended(x.server) {
		return false
	}
	x.g.metrics.serversEnded.Inc()
	return true
}

// crash returns the crash of the server under this request.
func (x *exchange) crash() quarantine.Crash {
	return quarantine.Crash{
		Service: x.service, Server: x.server.ID + "/" + strconv.FormatInt(x.server.Born, 10), Workspace: x.workspaceName(),
		Prompt: x.promptHash(), Parts: x.sharedParts(),
	}
}

// recordCrash records that the server ended under this request.
func (x *exchange) recordCrash() {
	if c := x.crash(); len(c.Parts) > 0 {
		x.g.State.RecordCrash(x.g.Clock.Now(), c)
	}
}

const (
	// dropCheckDelay is how long after an answer was dropped its server is checked. A server that ends under a prompt does so soon
	// after the head of the answer.
	dropCheckDelay = 500 * clock.Millisecond
	// maxDropChecks is the number of such checks that may be pending at a time.
	maxDropChecks = 32
)

// checkAfterDrop finds out later whether the server ended as it began the answer, which was dropped after its head. It does so
// only for a prompt with a part that is not known to be sound, as a check takes a connection.
func (x *exchange) checkAfterDrop() {
	g, c, v, id, at := x.g, x.crash(), x.server, x.request.ID, x.g.Clock.Now()
	if len(c.Parts) == 0 || g.State.Proven(at, x.service, c.Parts) || g.dropChecks.Load() >= maxDropChecks {
		return
	}
	g.dropChecks.Add(1)
	time.AfterFunc(dropCheckDelay.Std(), func() {
		defer g.dropChecks.Add(-1)
		if !g.Backend.Ended(v) {
			return
		}
		g.metrics.serversEnded.Inc()
		g.State.RecordCrash(at, c)
		g.Log.Warn().Str("request", id).Str("server", v.ID).Bool("server_ended", true).Strs("parts", c.Parts).
			Msg("gateway: server ended after its answer was dropped")
	})
}

// recordStart records that the answer to this request was started: its prompt does not end servers.
func (x *exchange) recordStart() {
	if parts := x.sharedParts(); len(parts) > 0 {
		x.g.State.RecordStart(x.g.Clock.Now(), x.service, parts)
	}
}

// checkPrompt returns the refusal of a request whose prompt ends servers, nil if it may be sent. A stream of which the caller has
// received events in this exchange has proved that it does not.
func (x *exchange) checkPrompt(now clock.Time) *work.Refusal {
	parts := x.sharedParts()
	if len(parts) == 0 || x.lastEvent != x.request.LastEventID {
		return nil
	}
	r := x.g.State.Check(now, quarantine.Request{
		Service: x.service, Workspace: x.workspaceName(), Prompt: x.promptHash(), Parts: parts,
	})
	if r == nil {
		return nil
	}
	x.g.metrics.partsRefused.Inc()
	detail := fmt.Sprintf("backend servers end as they answer prompts with %s, %d so far", strings.Join(r.Parts, ", "), r.Servers)
	if r.Repeat {
		detail = fmt.Sprintf("a backend server ended as it answered this prompt, with %s", strings.Join(r.Parts, ", "))
	}
	refusal := x.giveUp(work.CodePartRefused, detail)
	if refusal.Ran == work.NotRun {
		refusal.Retry = r.Retry
	}
	return refusal
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// promptHash returns a hash of all parts of the prompt.
func (x *exchange) promptHash() uint64 {
	h := xxhash.New()
	for _, p := range x.request.Parts {
		_, _ = h.WriteString(p.ID)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
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
		parts := strings.ToValidUTF8(strings.Join(r.Parts, ","), "?")
		ch <- prometheus.MustNewConstMetric(ruleDesc, prometheus.GaugeValue, float64(r.Servers), r.Service, parts)
	}
}

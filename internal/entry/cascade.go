package entry

import (
	"encoding/json"
	"strconv"
	"strings"

	"shallotrun/core/cascade"
	"shallotrun/core/clock"
	"shallotrun/core/flow"
	"shallotrun/core/route"
	"shallotrun/io/rating"
)

// maxSampleBytes is the maximum length of an answer of a last stage that is rated in the background.
const maxSampleBytes = 64 << 10

// beginCascade selects the stage of the cascade that the request starts with.
func (x *exchange) beginCascade(stages []route.Target) {
	d := x.d
	x.cascadeRequest = newCascadeRequest(x.request.table, x.request.workspace.Name, x.cascade, stages, x.prompt)
	x.cascadeRequest.RaterDown = d.ratings.down()
	x.firstStage = min(max(d.chooser.begin(x.cascadeRequest), 0), len(stages)-1)
	x.sampled = d.chooser.shouldSample()
	if !x.startCounted { // a request is begun twice if the document changed while it was queued
		x.startCounted = true
		d.metrics.cascadeStarts.WithLabelValues(x.cascade.Name, strconv.Itoa(x.firstStage)).Inc()
	}
}

// rate requests the rating of a buffered answer and decides whether the caller gets that answer.
func (x *exchange) rate() flow.Event {
	stage := x.firstStage + x.flow.Stage()
	maxWait := x.ratingTimeout()
	wait := maxWait
	if x.request.deadline != 0 {
		wait = min(wait, max(x.request.deadline.Sub(x.d.Clock.Now()), 1))
	}
	if !x.d.chooser.shouldWait(x.cascadeRequest) {
		wait = 0
	}
	n, ok := x.d.ratings.rate(x.ratingRequest(heldText(x.held)), wait, maxWait, x.d.lateRatingHandler(x.cascadeRequest, stage, wait > 0))
	var accept bool
	var next int
	result := "missing"
	switch {
	case !ok:
		accept, next = x.d.chooser.judgeUnrated(x.cascadeRequest, stage, wait >= maxWait && !x.d.ratings.down())
	default:
		accept, next = x.d.chooser.judge(x.cascadeRequest, stage, n)
		result = "escalated"
		if accept {
			result = "accepted"
		}
	}
	x.d.metrics.ratings.WithLabelValues(result).Inc()
	return flow.Rated{Accept: accept, Next: next - x.firstStage}
}

// lateRatingHandler returns the handler of a rating that arrives after the decision. Waited tells whether the request waited
// for the rating.
func (d *Daemon) lateRatingHandler(req cascade.Request, stage int, waited bool) func(lateReply) {
	return func(r lateReply) {
		if !waited {
			d.chooser.recordTimely(req, r.inTime)
		}
		if r.ok {
			d.chooser.learnLate(req, stage, r.rating)
			d.metrics.ratings.WithLabelValues("late").Inc()
		}
	}
}

// rateSample requests a rating in the background if the answer is one of the last stage and is sampled.
func (x *exchange) rateSample() {
	stage := x.firstStage + x.flow.Stage()
	if x.cascade == nil || !x.sampled || stage != len(x.cascade.Stages)-1 || len(x.sampleText) > maxSampleBytes {
		return
	}
	var s string
	if json.Unmarshal(append(append([]byte{'"'}, x.sampleText...), '"'), &s) != nil {
		return
	}
	late := x.d.lateRatingHandler(x.cascadeRequest, stage, false)
	if n, ok := x.d.ratings.rate(x.ratingRequest(s), 0, x.ratingTimeout(), late); ok {
		late(lateReply{n, true, true})
	}
}

// appendSample appends a token to the text for a rating in the background.
func (x *exchange) appendSample(text []byte) {
	if x.sampled && len(x.sampleText) <= maxSampleBytes {
		x.sampleText = append(x.sampleText, text[1:len(text)-1]...)
	}
}

// ratingRequest returns the request to the rating service for an answer of the current stage.
func (x *exchange) ratingRequest(answer string) *rating.Request {
	t := x.target()
	return &rating.Request{Request: x.request.id, Model: t.Model, Version: t.Version, Prompt: x.prompt, Answer: answer}
}

// ratingTimeout returns how long a request waits for a rating.
func (x *exchange) ratingTimeout() clock.Span {
	if x.cascade.Wait == 0 {
		return defaultRatingTimeout
	}
	return clock.Span(x.cascade.Wait)
}

// heldText returns the text of a buffered answer.
func heldText(held []heldToken) string {
	var b strings.Builder
	for _, h := range held {
		var s string
		if json.Unmarshal(h.text, &s) == nil {
			b.WriteString(s)
		}
	}
	return b.String()
}

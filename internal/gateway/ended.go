package gateway

import (
	"strconv"
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
)

// mayHaveEnded reports whether the process of the server may have ended before it began to answer, or as it began: the connection broke
// before the answer was proven.
func (x *exchange) mayHaveEnded(f *Fault, why endCause) bool {
	return f.Kind == OutcomeUnknown && why == causeNone && !x.attemptProven
}

// serverEnded reports whether the process of the server has ended: its address refuses connections.
func (x *exchange) serverEnded() bool {
	if !x.g.Backend.Ended(x.server) {
		return false
	}
	x.g.metrics.serversEnded.Inc()
	return true
}

// crashAt is a crash and its time.
type crashAt struct {
	quarantine.Crash
	at clock.Time
}

// crash returns the crash of the server under this request.
func (x *exchange) crash() quarantine.Crash {
	c := quarantine.Crash{
		Service: x.service, Server: x.server.ID + "/" + strconv.FormatInt(x.server.Born, 10), Workspace: x.workspaceName(),
		Prompt: x.identity(), Parts: []string{x.wholeRequest()}, Trial: x.trial, NoHead: !x.headArrived,
	}
	if shared := x.sharedParts(); len(shared) > 0 {
		c.Prompt, c.Parts = x.promptHash(), append(shared, c.Parts...)
	}
	return c
}

// recordCrash records that the server ended under this request. If only the request itself may be to blame, the first crash is kept
// until the request ends: most servers end for another reason, and a request that is answered by the next one is not to blame.
func (x *exchange) recordCrash() {
	if x.proven {
		return // by the answer of an earlier server
	}
	c := crashAt{x.crash(), x.g.Clock.Now()}
	x.trialCrashed = x.trial
	if len(c.Parts) == 1 && x.firstCrash == nil {
		x.firstCrash = &c
		return
	}
	x.recordFirstCrash()
	x.g.State.RecordCrash(c.at, c.Crash)
}

// recordFirstCrash records the crash that recordCrash kept, if there is one.
func (x *exchange) recordFirstCrash() {
	if c := x.firstCrash; c != nil {
		x.g.State.RecordCrash(c.at, c.Crash)
	}
	x.firstCrash = nil
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
	shared := x.sharedParts()
	if len(shared) == 0 || g.State.Proven(at, x.service, shared) || g.dropChecks.Load() >= maxDropChecks {
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

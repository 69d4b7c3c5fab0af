package gateway

import (
	"strconv"

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

// crashAt is a crash, its time and the identifier of the request.
type crashAt struct {
	quarantine.Crash
	at      clock.Time
	request string
}

// crash returns the crash of the server under this request.
func (x *exchange) crash() quarantine.Crash {
	c := quarantine.Crash{
		Service: x.service, Server: x.server.ID + "/" + strconv.FormatInt(x.server.Born, 10), Workspace: x.workspaceName(),
		Prompt: x.identity(), Parts: []string{x.wholeRequest()}, Trial: x.trial, NoHead: !x.headArrived,
		Rest: x.promptTail().Hashes(), Body: x.bodyIdentity(),
	}
	if shared := x.sharedParts(); len(shared) > 0 {
		c.Prompt, c.Parts = x.promptHash(), append(shared, c.Parts...)
	}
	return c
}

// crashNow returns the crash of the server under this request at the present time.
func (x *exchange) crashNow() crashAt { return crashAt{x.crash(), x.g.Clock.Now(), x.request.ID} }

// recordCrash records that the server ended under this request. If only the request itself may be to blame, the first crash is kept
// until the request ends: most servers end for another reason, and a request that is answered by the next one is not to blame.
func (x *exchange) recordCrash() {
	if x.proven {
		return // by the answer of an earlier server
	}
	c := x.crashNow()
	x.trialBroke = x.trial
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

package gateway

import (
	"slices"
	"sync"
	"time"

	"shallotrun/core/backend"
	"shallotrun/core/clock"
	"shallotrun/core/quarantine"
)

const (
	// dropCheckDelay is how long after an answer was dropped its server is asked. A server that ends under a prompt does so soon after the
	// head of the answer.
	dropCheckDelay = 500 * clock.Millisecond
	// checkWindow is the time within which requests that broke at a server have one check together.
	checkWindow = 50 * clock.Millisecond
	// maxEndChecks is the number of pending checks, and maxCheckedCrashes the number of requests that have one together.
	maxEndChecks      = 128
	maxCheckedCrashes = 16
	// maxPendingRest is the number of hashes of prompts' parts in pending checks. Crashes beyond it are recorded without theirs.
	maxPendingRest = 65536
	// portCheckTime is the time after the break of a connection up to which the server's port is asked, entryCheckTime the time up to which
	// its entry is read, every entryCheckInterval. The port of a process that ends closes soon after its connections. If it belongs to a
	// supervisor, only the registration of the next process shows the end, some seconds later.
	portCheckTime      = 500 * clock.Millisecond
	entryCheckTime     = 5 * clock.Second
	entryCheckInterval = 250 * clock.Millisecond
)

// breakCheckDelays are the times from the break of a connection, at a server whose port still accepts, to the moments at which the server is
// checked again.
var breakCheckDelays = makeBreakCheckDelays()

func makeBreakCheckDelays() []clock.Span {
	out := []clock.Span{100 * clock.Millisecond}
	for at := portCheckTime; at <= entryCheckTime; at += entryCheckInterval {
		out = append(out, at)
	}
	return out
}

// endCheckKey identifies a pending check.
type endCheckKey struct {
	message  string // of the log line
	serverID string
	born     int64
	window   int64 // number of the checkWindow
}

// endCheck is a server of which it is checked later whether its process has ended, with what is recorded if it has.
type endCheck struct {
	endCheckKey
	server  backend.Server
	crashes []crashAt
}

// endChecks holds the pending checks. It is safe for concurrent use.
type endChecks struct {
	mu      sync.Mutex
	pending map[endCheckKey]*endCheck
	rest    int // number of hashes in the pending checks
}

// add adds a crash to the pending check of a server. It returns the check if it has just been made, so that the caller starts it, and false
// if there are too many.
func (e *endChecks) add(v backend.Server, c crashAt, message string) (check *endCheck, ok bool) {
	key := endCheckKey{message, v.ID, v.Born, int64(c.at) / int64(checkWindow)}
	e.mu.Lock()
	defer e.mu.Unlock()
	check = e.pending[key]
	if check != nil && len(check.crashes) >= maxCheckedCrashes || check == nil && len(e.pending) >= maxEndChecks {
		return nil, false
	}
	if e.rest+len(c.Rest) > maxPendingRest {
		c.Rest = nil
	}
	e.rest += len(c.Rest)
	if check != nil {
		check.crashes = append(check.crashes, c)
		return nil, true
	}
	if e.pending == nil {
		e.pending = make(map[endCheckKey]*endCheck)
	}
	check = &endCheck{endCheckKey: key, server: v, crashes: []crashAt{c}}
	e.pending[key] = check
	return check, true
}

// take removes a check and returns its crashes.
func (e *endChecks) take(check *endCheck) []crashAt {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, check.endCheckKey)
	for _, c := range check.crashes {
		e.rest -= len(c.Rest)
	}
	return check.crashes
}

// checkLater asks a server later whether its process has ended, after each of the delays until it has, and records the crash if so.
func (g *Gateway) checkLater(v backend.Server, c crashAt, message string, delays []clock.Span) {
	check, ok := g.endChecks.add(v, c, message)
	switch {
	case !ok:
		g.metrics.endChecksDropped.Inc()
	case check != nil:
		g.runCheck(check, 0, delays)
	}
}

// runCheck runs the check after the first of the delays, which are counted from the same moment; passed is the time since then.
func (g *Gateway) runCheck(check *endCheck, passed clock.Span, delays []clock.Span) {
	time.AfterFunc((delays[0] - passed).Std(), func() {
		switch {
		case g.replaced(check.server), delays[0] <= portCheckTime && g.Backend.Ended(check.server):
			g.recordEnded(check)
		case len(delays) > 1:
			g.runCheck(check, delays[0], delays[1:])
		default:
			g.endChecks.take(check)
		}
	})
}

// replaced reports whether another incarnation of a server has registered, so that its process has ended.
func (g *Gateway) replaced(v backend.Server) bool {
	return slices.ContainsFunc(g.State.Servers(g.Clock.Now(), v.Service), func(o backend.Server) bool {
		return o.ID == v.ID && o.Born > v.Born || o.ID != v.ID && o.Addr == v.Addr && o.Made > v.Made
	})
}

// recordEnded records the crashes of a server that has ended.
func (g *Gateway) recordEnded(check *endCheck) {
	for _, c := range g.endChecks.take(check) {
		g.metrics.serversEnded.Inc()
		g.State.RecordCrash(c.at, c.Crash)
		g.Log.Warn().Str("request", c.request).Str("server", check.server.ID).Bool("server_ended", true).Strs("parts", c.Parts).
			Msg(check.message)
	}
}

// checkAfterDrop finds out later whether the server ended as it began the answer, which was dropped after its head. It does so
// only for a prompt with a part that is not known to be sound, as a check takes a connection.
func (x *exchange) checkAfterDrop() {
	c, shared := x.crashNow(), quarantine.Content{Parts: x.sharedParts(), Tail: x.promptTail()}
	if len(shared.Parts) == 0 || x.g.State.Proven(c.at, x.service, shared) {
		return
	}
	x.g.checkLater(x.server, c, "gateway: server ended after its answer was dropped", []clock.Span{dropCheckDelay})
}

// checkAfterBreak finds out later whether the server ended, whose port still accepted when the connection broke.
func (x *exchange) checkAfterBreak() {
	if x.proven {
		return // by the answer of an earlier server
	}
	x.trialBroke = x.trial
	x.g.checkLater(x.server, x.crashNow(), "gateway: server ended after a connection to it broke", breakCheckDelays)
}

package retry

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// States of a breaker.
const (
	closed state = iota
	open
	halfOpen
)

const (
	// A breaker opens after maxConsecutiveFailures, or if at least half of the recent attempts failed and there were at least
	// minAttempts of them.
	maxConsecutiveFailures = 5
	minAttempts            = 10
	attemptDecay           = 0.95 // decay factor for each attempt: about the last 20 attempts have weight
	// An open breaker admits one attempt as a probe after minOpenDelay, doubled for each failed probe. The maximum is below the
	// 5 s within which a pool has to recover.
	minOpenDelay = clock.Second
	maxOpenDelay = 3 * clock.Second
	// A breaker without attempts for this long is removed.
	idleExpiry = 10 * clock.Minute
	// If the result of a probe is not reported within probeTimeout, another probe is admitted, so that the breaker does not stay
	// half open.
	probeTimeout = 30 * clock.Second
)

type state uint8

// Breakers holds a circuit breaker for each replica and version, so that a version that fails on all replicas does not block the
// other versions there.
type Breakers struct {
	all       map[key]*breaker
	lastSweep clock.Time
}

type key struct{ server, model, version string }

type breaker struct {
	state               state
	consecutiveFailures int
	failures            float64
	attempts            float64
	openDelay           clock.Span
	nextProbe           clock.Time // when an open breaker admits a probe, or a half-open one the next
	lastUsed            clock.Time
}

// Allow reports whether an attempt may be sent. For an open breaker whose delay has passed it admits one probe, which the caller
// has to send and report. Open reads the state without admitting a probe.
func (b *Breakers) Allow(now clock.Time, server, model, version string) bool {
	k := b.all[key{server, model, version}]
	if k == nil || k.state == closed {
		return true
	}
	if now < k.nextProbe {
		return false
	}
	k.state = halfOpen
	k.nextProbe = now.Add(probeTimeout)
	k.lastUsed = now
	return true
}

// Open reports whether attempts are rejected now.
func (b *Breakers) Open(now clock.Time, server, model, version string) bool {
	k := b.all[key{server, model, version}]
	return k != nil && k.state != closed && now < k.nextProbe
}

// Report records the result of an attempt. A refusal by the server is not a failure, since it indicates load and not a fault.
func (b *Breakers) Report(now clock.Time, r work.Result) {
	b.sweep(now)
	id := key{r.Server, r.Model, r.Version}
	k := b.all[id]
	if k == nil {
		if !r.Failed {
			return
		}
		if b.all == nil {
			b.all = make(map[key]*breaker)
		}
		k = &breaker{}
		b.all[id] = k
	}
	k.lastUsed = now
	if r.Failed {
		k.fail(now)
		return
	}
	if !r.Refused {
		k.succeed()
	}
}

func (k *breaker) fail(now clock.Time) {
	k.consecutiveFailures++
	k.attempts = k.attempts*attemptDecay + 1
	k.failures = k.failures*attemptDecay + 1
	switch k.state {
	case halfOpen:
		k.openDelay = min(2*k.openDelay, maxOpenDelay)
	case closed:
		if k.consecutiveFailures < maxConsecutiveFailures && (k.attempts < minAttempts || k.failures < k.attempts/2) {
			return
		}
		k.openDelay = minOpenDelay
	case open:
		// A late result of an attempt that was sent before the breaker opened.
		return
	}
	k.state = open
	k.nextProbe = now.Add(k.openDelay)
}

func (k *breaker) succeed() {
	k.consecutiveFailures = 0
	k.attempts = k.attempts*attemptDecay + 1
	k.failures *= attemptDecay
	if k.state == halfOpen {
		*k = breaker{lastUsed: k.lastUsed}
	}
}

// sweep removes breakers without recent attempts, so that replaced replicas do not use memory.
func (b *Breakers) sweep(now clock.Time) {
	if now.Sub(b.lastSweep) < idleExpiry/10 {
		return
	}
	b.lastSweep = now
	for id, k := range b.all {
		if now.Sub(k.lastUsed) > idleExpiry {
			delete(b.all, id)
		}
	}
}

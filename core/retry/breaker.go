package retry

import (
	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// States of one breaker.
const (
	closed state = iota
	open
	halfOpen
)

const (
	// A breaker opens on this many failures in a row, or when at least half of the recent attempts failed
	// and there were breakerMin of them.
	breakerRow  = 5
	breakerMin  = 10
	breakerKeep = 0.95 // weight of the past per attempt: about the last 20 count
	// An open breaker lets one attempt through after this delay, doubled for each failed probe. The longest one
	// leaves room in the 5 s within which a pool has to recover.
	breakerWait    = clock.Second
	breakerLongest = 3 * clock.Second
	// A breaker without attempts for this long is forgotten.
	breakerIdle = 10 * clock.Minute
	// A probe whose result is never reported must not keep the breaker half open.
	probeLimit = 30 * clock.Second
)

type state uint8

// Breakers holds a circuit breaker for each replica and version, so that a version that fails everywhere does
// not take its replicas away from the other versions.
type Breakers struct {
	all   map[key]*breaker
	swept clock.Time
}

type key struct{ server, model, version string }

type breaker struct {
	state  state
	row    int
	fails  float64
	tries  float64
	wait   clock.Span
	until  clock.Time // when an open breaker probes, or a probe is given up
	active clock.Time
}

// Allow reports whether an attempt may be sent. For an open breaker whose delay has passed it admits one probe,
// which the caller has to send and report. Use Open to look without taking the probe.
func (b *Breakers) Allow(now clock.Time, server, model, version string) bool {
	k := b.all[key{server, model, version}]
	if k == nil || k.state == closed {
		return true
	}
	if now < k.until {
		return false
	}
	k.state = halfOpen
	k.until = now.Add(probeLimit)
	k.active = now
	return true
}

// Open reports whether attempts are held back now.
func (b *Breakers) Open(now clock.Time, server, model, version string) bool {
	k := b.all[key{server, model, version}]
	return k != nil && k.state != closed && now < k.until
}

// Report records a result. A refusal by the server is no failure: it shows load, not a fault.
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
	k.active = now
	if r.Failed {
		k.fail(now)
		return
	}
	if !r.Refused {
		k.succeed()
	}
}

func (k *breaker) fail(now clock.Time) {
	k.row++
	k.tries = k.tries*breakerKeep + 1
	k.fails = k.fails*breakerKeep + 1
	switch k.state {
	case halfOpen:
		k.wait = min(2*k.wait, breakerLongest)
	case closed:
		if k.row < breakerRow && (k.tries < breakerMin || k.fails < k.tries/2) {
			return
		}
		k.wait = breakerWait
	case open:
		// A late result of an attempt from before the breaker opened.
		return
	}
	k.state = open
	k.until = now.Add(k.wait)
}

func (k *breaker) succeed() {
	k.row = 0
	k.tries = k.tries*breakerKeep + 1
	k.fails *= breakerKeep
	if k.state == halfOpen {
		*k = breaker{active: k.active}
	}
}

// sweep forgets breakers that saw no attempt for long, so that replaced replicas leave nothing behind.
func (b *Breakers) sweep(now clock.Time) {
	if now.Sub(b.swept) < breakerIdle/10 {
		return
	}
	b.swept = now
	for id, k := range b.all {
		if now.Sub(k.active) > breakerIdle {
			delete(b.all, id)
		}
	}
}

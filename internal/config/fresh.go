package config

import (
	"context"
	"sync"
	"time"

	"shallotrun/core/clock"
)

const (
	// tickInterval is the interval between two calls of Tick by Run.
	tickInterval = 250 * clock.Millisecond
	// pauseThreshold is the gap between two ticks above which the process is treated as paused.
	pauseThreshold = 2 * clock.Second
	// confirmTimeout is how long a VM that gets no answer waits after a pause before it dispatches new work by the document that
	// it has.
	confirmTimeout = 1 * clock.Second
	// arrivalTimeout bounds the wait for a newer document that is known to exist. It is the time within which an accepted
	// document is in force on every VM.
	arrivalTimeout = 8 * clock.Second
)

// pauseDetector detects pauses of the process and records whether the document in force was confirmed as current since the last
// one. It also holds the time of the last answer of the platform's store.
type pauseDetector struct {
	mu          sync.Mutex
	started     bool
	lastTick    clock.Time // last tick, monotonic
	lastWall    clock.Time // last tick, wall clock
	resumed     clock.Time // end of the last pause
	unconfirmed bool       // since the pause, the document was not confirmed as current
	confirmed   bool       // a request sent since the pause was answered
	handled     uint64     // highest revision that was put in force or refused
	newest      uint64     // highest revision known to exist
	answered    clock.Time // when the last request was sent that the platform's store answered, monotonic
	suspended   clock.Span // time since then during which the wall clock ran and the monotonic clock did not
	hooks       []func()   // called after each pause
}

// Run calls Tick at a fixed interval until ctx ends.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval.Std())
	defer t.Stop()
	s.Tick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.Tick()
		}
	}
}

// Tick records that the process is running and detects a pause since the last call. Run calls it; tests with a manual clock
// call it themselves.
func (s *Store) Tick() {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.tick()
}

// OnPause registers f to be called in its own goroutine after each pause of the process. Sources of documents use it to
// request the newest revision.
func (s *Store) OnPause(f func()) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.pause.hooks = append(s.pause.hooks, f)
}

// Fresh reports whether new work may be dispatched. It is false before the first document. After a pause of the process it is
// false until a request sent since the pause is answered, or until 1 s has passed without an answer. While a revision is known
// that is higher than those handled, it stays false for up to 8 s.
func (s *Store) Fresh() bool {
	if s.Current() == nil {
		return false
	}
	p := &s.pause
	p.mu.Lock()
	defer p.mu.Unlock()
	// After a pause, a request may be read before the ticker fires, so the pause is detected here too.
	s.tick()
	if !p.unconfirmed {
		return true
	}
	since := p.lastTick.Sub(p.resumed)
	switch {
	case p.handled < p.newest && since < arrivalTimeout:
		return false
	case !p.confirmed && since < confirmTimeout:
		return false
	}
	p.unconfirmed = false
	return true
}

// Observe records that a peer or the platform's store has this revision. It does not confirm the document in force after a
// pause: the message may have been in a socket buffer since before a newer document was stored.
func (s *Store) Observe(revision uint64) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.tick()
	s.pause.newest = max(s.pause.newest, revision)
}

// Confirm records that a peer or the platform's store reported this revision as its newest, in answer to a request that this
// VM sent at the time asked, by Clock.Now.
func (s *Store) Confirm(revision uint64, asked clock.Time) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.tick()
	s.pause.newest = max(s.pause.newest, revision)
	s.pause.confirmed = s.pause.confirmed || asked >= s.pause.resumed
}

// PlatformAnswered records that the platform's store answered a request that this VM sent at the time asked, by Clock.Now. The
// answer to a request from before a pause is ignored, because it does not show that the store was reachable since.
func (s *Store) PlatformAnswered(asked clock.Time) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.tick()
	if asked >= s.pause.resumed && asked >= s.pause.answered {
		s.pause.answered, s.pause.suspended = asked, 0
	}
}

// Staleness returns the time since the platform's store last answered, or since the start if it never did. It is measured from
// when the answered request was sent.
func (s *Store) Staleness() clock.Span {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.tick()
	return s.pause.lastTick.Sub(s.pause.answered) + s.pause.suspended
}

// tick advances the pause detector and calls the hooks if a pause ended. The lock of pause must be held.
func (s *Store) tick() {
	if !s.pause.advance(s.Clock) {
		return
	}
	s.Log.Warn().Msg("config: the process was paused; new work waits until the document is confirmed")
	for _, f := range s.pause.hooks {
		go f()
	}
}

// setHandled records a revision that was put in force or refused.
func (s *Store) setHandled(revision uint64) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.tick()
	s.pause.handled = max(s.pause.handled, revision)
	s.pause.newest = max(s.pause.newest, revision)
}

// advance records a tick and reports whether a pause ended with it. The wall clock is compared too, because the monotonic clock
// can stop while the VM is suspended. Backward steps of the wall clock are ignored.
func (p *pauseDetector) advance(c clock.Clock) bool {
	now, wall := c.Now(), c.Wall()
	if !p.started {
		p.started, p.lastTick, p.lastWall, p.answered = true, now, wall, now
		return false
	}
	gap, wallGap := now.Sub(p.lastTick), wall.Sub(p.lastWall)
	p.lastTick, p.lastWall = now, wall
	if wallGap > gap+pauseThreshold {
		p.suspended += wallGap - gap
	}
	if max(gap, wallGap) <= pauseThreshold {
		return false
	}
	p.resumed, p.unconfirmed, p.confirmed = now, true, false
	return true
}

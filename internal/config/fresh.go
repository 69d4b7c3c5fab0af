package config

import (
	"context"
	"sync"
	"time"

	"shallotrun/core/clock"
)

const (
	// tick is the interval at which Run shows that the process is running.
	tick = 250 * clock.Millisecond
	// pauseLimit is the gap between two ticks that counts as a pause of the process.
	pauseLimit = 2 * clock.Second
	// refreshLimit is how long a VM that reaches nobody waits after a pause before it serves with the
	// document that it has.
	refreshLimit = 1 * clock.Second
	// arriveLimit bounds the wait for a document that is known to exist: the time within which an accepted
	// document is in force everywhere.
	arriveLimit = 8 * clock.Second
)

// pause detects that the process stood still, and holds new work back until the document is known to be
// current. It also keeps the time of the platform's last response.
type pause struct {
	mu      sync.Mutex
	started bool
	now     clock.Time // last tick, monotonic
	wall    clock.Time // last tick, wall clock
	resumed clock.Time // end of the last pause
	stale   bool       // nothing has shown since the pause that the document is current
	answer  bool       // somebody answered a question asked since the pause
	handled uint64     // highest revision that was put in force or refused
	known   uint64     // highest revision heard of
	contact clock.Time // when the last question was asked that the platform answered, monotonic
	lost    clock.Span // time since then that passed on the wall clock only
	hooks   []func()   // called after a pause
}

// Run ticks until ctx ends.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(tick.Std())
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

// Tick records that the process runs. Run calls it; a test with a manual clock calls it itself.
func (s *Store) Tick() {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.step()
}

// OnPause calls f, on a goroutine of its own, after each pause of the process. Sources use it to ask for
// the newest revision.
func (s *Store) OnPause(f func()) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.pause.hooks = append(s.pause.hooks, f)
}

// Fresh reports whether new work may be dispatched: false before the first document, and after a pause of
// the process until a current revision was heard or nobody answered for 1 s.
func (s *Store) Fresh() bool {
	if s.Current() == nil {
		return false
	}
	p := &s.pause
	p.mu.Lock()
	defer p.mu.Unlock()
	// A request may be read before the ticker fires after a pause, so the pause is looked for here too.
	s.step()
	if !p.stale {
		return true
	}
	since := p.now.Sub(p.resumed)
	switch {
	case p.handled < p.known && since < arriveLimit:
		return false
	case !p.answer && since < refreshLimit:
		return false
	}
	p.stale = false
	return true
}

// Heard records that a peer or the platform has this revision. It does not end the wait after a pause: the
// message may have waited in a socket since before a newer document.
func (s *Store) Heard(revision uint64) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.step()
	s.pause.known = max(s.pause.known, revision)
}

// Confirm records that a peer or the platform reported this revision as its newest in answer to a question
// that this VM asked at the time asked, by Clock.Now.
func (s *Store) Confirm(revision uint64, asked clock.Time) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.step()
	s.pause.known = max(s.pause.known, revision)
	s.pause.answer = s.pause.answer || asked >= s.pause.resumed
}

// Contact records that the platform answered a question that this VM asked at the time asked, by Clock.Now.
// An answer to a question from before a pause says nothing about the time since.
func (s *Store) Contact(asked clock.Time) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.step()
	if asked >= s.pause.resumed && asked >= s.pause.contact {
		s.pause.contact, s.pause.lost = asked, 0
	}
}

// Silent returns the time since the platform last answered, or since the start.
func (s *Store) Silent() clock.Span {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.step()
	return s.pause.now.Sub(s.pause.contact) + s.pause.lost
}

// step advances the tick. The caller holds the lock of pause.
func (s *Store) step() {
	if !s.pause.step(s.Clock) {
		return
	}
	s.Log.Warn().Msg("config: the process was paused, new work waits for a current document")
	for _, f := range s.pause.hooks {
		go f()
	}
}

// handle records a revision that was put in force or refused.
func (s *Store) handle(revision uint64) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.step()
	s.pause.handled = max(s.pause.handled, revision)
	s.pause.known = max(s.pause.known, revision)
}

// step advances the tick and reports whether a pause ended. The wall clock is compared too, because a
// monotonic reading may stand still while the VM is suspended; a wall clock that steps back is ignored.
func (p *pause) step(c clock.Clock) bool {
	now, wall := c.Now(), c.Wall()
	if !p.started {
		p.started, p.now, p.wall, p.contact = true, now, wall, now
		return false
	}
	gap, wallGap := now.Sub(p.now), wall.Sub(p.wall)
	p.now, p.wall = now, wall
	if wallGap > gap+pauseLimit {
		p.lost += wallGap - gap
	}
	if max(gap, wallGap) <= pauseLimit {
		return false
	}
	p.resumed, p.stale, p.answer = now, true, false
	return true
}

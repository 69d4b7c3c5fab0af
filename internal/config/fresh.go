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
	resumed clock.Time // end of the last pause, 0 when no refresh is due
	handled uint64     // highest revision that was put in force or refused
	known   uint64     // highest revision heard of
	asked   bool       // somebody reported a revision since the pause
	contact clock.Time // the platform's last response, monotonic
	lost    clock.Span // time that passed on the wall clock only
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
	if s.pause.step(s.Clock) {
		s.Log.Warn().Msg("config: the process was paused, new work waits for a current document")
	}
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
	p.step(s.Clock)
	if p.resumed == 0 {
		return true
	}
	since := p.now.Sub(p.resumed)
	switch {
	case p.asked && p.handled >= p.known:
	case !p.asked && since >= refreshLimit:
	case since >= arriveLimit:
	default:
		return false
	}
	p.resumed = 0
	return true
}

// Heard records that a peer or the platform reported this revision as its newest.
func (s *Store) Heard(revision uint64) {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.pause.step(s.Clock)
	s.pause.known = max(s.pause.known, revision)
	s.pause.asked = true
}

// Contact records that the platform answered this VM.
func (s *Store) Contact() {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.pause.step(s.Clock)
	s.pause.contact, s.pause.lost = s.pause.now, 0
}

// Silent returns the time since the platform last answered, or since the start.
func (s *Store) Silent() clock.Span {
	s.pause.mu.Lock()
	defer s.pause.mu.Unlock()
	s.pause.step(s.Clock)
	return s.pause.now.Sub(s.pause.contact) + s.pause.lost
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
	p.resumed, p.asked = now, false
	return true
}

func (p *pause) heard(c clock.Clock, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.step(c)
	p.handled = max(p.handled, revision)
	p.known = max(p.known, revision)
	p.asked = true
}

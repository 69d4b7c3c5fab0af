package lease

import "shallotrun/core/clock"

// Commands that a machine can wait for.
const (
	idle work = iota
	reading
	writing
)

// work is the command that is under way.
type work uint8

// Machine is the lease as one VM sees it. Set the exported fields before the first event. It is not safe
// for concurrent use.
type Machine struct {
	Self        string // name of this VM
	Incarnation uint64 // tells this process from an earlier one on the same VM
	Rules       Rules

	candidate bool
	leaving   bool
	busy      work // the command that is not answered yet

	seen   Seen // the object as last read or written
	seenAt clock.Time
	next   clock.Time // earliest next read

	held  bool
	fence uint64
	until Times // end of the lease
	taken clock.Time
	sent  Times // of the last confirmed write

	put    Put // the write under way, or the last one without a known outcome
	putAt  Times
	first  Times // of the oldest one of equal writes without a known outcome
	unsure bool  // put has no known outcome
	reread bool  // the object has to be read before the next write
}

// Handle takes one event and returns what is to be done.
func (m *Machine) Handle(t Times, e Event) []Command {
	switch e := e.(type) {
	case Tick:
	case Candidate:
		m.SetCandidate(e.On)
	case Leave:
		m.leaving, m.candidate = true, false
	case Seen:
		m.busy, m.reread = idle, false
		if c := m.saw(t, e); c != nil {
			return c
		}
	case Stored:
		m.busy = idle
		m.stored(t, e)
	case Refused:
		// The version may have changed by a write of this VM that arrived late, so the object is read before
		// the lease is given up.
		m.busy, m.reread, m.next = idle, true, t.Now
	case Failed:
		m.failed()
		m.next = t.Now.Add(m.Rules.Poll / 2)
		return nil
	}
	return m.act(t)
}

// SetCandidate is the event Candidate for a caller that cannot carry out commands; they follow at the next
// event.
func (m *Machine) SetCandidate(on bool) { m.candidate = on && !m.leaving }

// Acting returns the fencing number while this VM may send orders. fenced says that the engine refuses an
// old number; to others the holder sends nothing for a while after a takeover, because orders of the holder
// before may still be under way.
func (m *Machine) Acting(t Times, fenced bool) (uint64, bool) {
	if !m.held || m.fence == 0 || m.leaving || m.over(t, m.Rules.Margin) {
		return 0, false
	}
	if !fenced && t.Now < m.taken.Add(m.Rules.Settle) {
		return 0, false
	}
	return m.fence, true
}

// Holder returns the lease as last seen, for the status.
func (m *Machine) Holder() Value { return m.seen.Value }

// Until returns when the lease of this VM ends by the wall clock, 0 if it does not hold it.
func (m *Machine) Until() clock.Time {
	if !m.held {
		return 0
	}
	return m.until.Wall
}

// Idle reports whether nothing is left to do after Leave.
func (m *Machine) Idle() bool { return m.leaving && !m.held && m.busy == idle }

// act does what the time asks for.
func (m *Machine) act(t Times) []Command {
	if m.busy != idle {
		return nil
	}
	if m.held && m.over(t, m.Rules.Margin) {
		m.held = false
		m.next = t.Now
	}
	switch {
	case m.held && m.leaving:
		m.held = false
		return m.write(t, Value{Fence: m.fence})
	case m.reread && (m.held || m.candidate):
		return m.get(t)
	case m.held && m.fence == 0:
		// The first holder takes its number from the version that the creation was given, which is higher
		// than every number before a deletion of the object.
		return m.write(t, Value{Holder: m.Self, Incarnation: m.Incarnation, Fence: m.seen.Version})
	case m.held && t.Now >= m.sent.Now.Add(m.Rules.Renew):
		return m.write(t, Value{Holder: m.Self, Incarnation: m.Incarnation, Fence: m.fence})
	case !m.held && m.candidate:
		return m.get(t)
	}
	return nil
}

func (m *Machine) get(t Times) []Command {
	if t.Now < m.next {
		return nil
	}
	m.busy, m.next = reading, t.Now.Add(m.Rules.Poll)
	return []Command{Get{}}
}

func (m *Machine) failed() {
	if m.busy == writing {
		if !m.unsure {
			m.first = m.putAt
		}
		m.unsure, m.reread = true, true
	}
	m.busy = idle
}

// saw takes the result of a read.
func (m *Machine) saw(t Times, e Seen) []Command {
	old := m.seen
	if e.Version != old.Version || m.seenAt == 0 {
		m.seenAt = t.Now
	}
	m.seen = e
	mine := e.Found && e.Value.Holder == m.Self && e.Value.Incarnation == m.Incarnation
	if mine && m.unsure && e.Value == m.put.Value && e.Version > m.put.Version {
		m.unsure = false
		m.own(t, e, m.first)
		return nil
	}
	// Another version than the one that the write required means that the write can no longer take effect.
	m.unsure = m.unsure && e.Version == m.put.Version
	if mine && m.held {
		return nil
	}
	m.held = false
	free := !e.Found || e.Value.Holder == "" || mine || t.Now.Sub(m.seenAt) >= m.Rules.Length
	if !free || !m.candidate {
		return nil
	}
	v := Value{Holder: m.Self, Incarnation: m.Incarnation}
	if e.Found {
		v.Fence = max(e.Version, e.Value.Fence) + 1
	}
	return m.write(t, v)
}

func (m *Machine) stored(t Times, e Stored) {
	m.unsure = false
	seen := Seen{Found: true, Version: e.Version, Value: m.put.Value}
	m.seen, m.seenAt = seen, t.Now
	if m.put.Value.Holder == m.Self {
		m.own(t, seen, m.putAt)
	}
}

// own records that a write of this VM sent at s took effect.
func (m *Machine) own(t Times, e Seen, s Times) {
	if !m.held || m.fence != e.Value.Fence {
		m.taken = t.Now
	}
	m.seen = e
	m.held, m.fence, m.sent = true, e.Value.Fence, s
	m.until = Times{Now: s.Now.Add(m.Rules.Length), Wall: s.Wall.Add(m.Rules.Length)}
}

func (m *Machine) write(t Times, v Value) []Command {
	version := m.seen.Version
	if !m.seen.Found {
		version = 0
	}
	p := Put{Version: version, Value: v}
	if p != m.put {
		m.unsure = false
	}
	m.put, m.putAt, m.busy = p, t, writing
	return []Command{p}
}

// over reports whether less than left of the lease remains by either clock.
func (m *Machine) over(t Times, left clock.Span) bool {
	return t.Now >= m.until.Now.Add(-left) || t.Wall >= m.until.Wall.Add(-left)
}

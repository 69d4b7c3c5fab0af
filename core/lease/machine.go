package lease

import "shallotrun/core/clock"

// Commands whose result a machine can wait for.
const (
	noCommand pendingCommand = iota
	reading
	writing
)

// pendingCommand is the kind of the command that is pending.
type pendingCommand uint8

// Machine is the state of the lease on one VM. Set the exported fields before the first event. It is not safe for
// concurrent use.
type Machine struct {
	Self        string // name of this VM
	Incarnation uint64 // distinguishes this process from earlier ones on the same VM
	Rules       Rules

	candidate bool
	releasing bool
	pending   pendingCommand // kind of the command without a result yet

	object    GetResult  // the lease object as last read or written
	changedAt clock.Time // when this VM first had this version of it
	nextGet   clock.Time // earliest time of the next read

	held     bool
	fence    uint64
	end      Times // end of the lease
	acquired clock.Time
	renewed  Times // when the last confirmed write was sent

	put        Put // the pending write, or the last one with an unknown result
	putAt      Times
	firstPutAt Times // when the first of equal writes with an unknown result was sent
	unknownPut bool  // the result of put is unknown
	mustGet    bool  // the object has to be read before the next write
}

// Handle applies one event and returns the commands that follow.
func (m *Machine) Handle(t Times, e Event) []Command {
	switch e := e.(type) {
	case Tick:
	case Candidate:
		m.SetCandidate(e.On)
	case Release:
		m.releasing, m.candidate = true, false
	case GetResult:
		m.pending, m.mustGet = noCommand, false
		if c := m.handleGet(t, e); c != nil {
			return c
		}
	case Stored:
		m.pending = noCommand
		m.handleStored(t, e)
	case PutConflict:
		// A late write of this VM may have changed the version, so the object is read before the lease is given
		// up.
		m.pending, m.mustGet, m.nextGet = noCommand, true, t.Now
	case NoResponse:
		m.handleNoResponse()
		m.nextGet = t.Now.Add(m.Rules.PollInterval / 2)
		return nil
	}
	return m.next(t)
}

// SetCandidate has the effect of the event Candidate, for callers that cannot carry out commands. The commands follow at
// the next event.
func (m *Machine) SetCandidate(on bool) { m.candidate = on && !m.releasing }

// FencingToken returns the fencing token, and whether this VM may send orders now. fenced states that the engine rejects old
// tokens. The holder sends no orders to other engines for a while after a takeover, because orders of the previous holder may
// still be in flight.
func (m *Machine) FencingToken(t Times, fenced bool) (uint64, bool) {
	if !m.held || m.fence == 0 || m.releasing || m.expired(t, m.Rules.Margin) {
		return 0, false
	}
	if !fenced && t.Now < m.acquired.Add(m.Rules.TakeoverWait) {
		return 0, false
	}
	return m.fence, true
}

// Holder returns the value of the lease object as last read or written, for the status.
func (m *Machine) Holder() Value { return m.object.Value }

// Until returns the end of the lease by the wall clock, or 0 if this VM does not hold it.
func (m *Machine) Until() clock.Time {
	if !m.held {
		return 0
	}
	return m.end.Wall
}

// Released reports whether the lease was given back, or not held, after Release, and no command is pending.
func (m *Machine) Released() bool { return m.releasing && !m.held && m.pending == noCommand }

// next returns the command that is due, if any.
func (m *Machine) next(t Times) []Command {
	if m.pending != noCommand {
		return nil
	}
	if m.held && m.expired(t, m.Rules.Margin) {
		m.held = false
		m.nextGet = t.Now
	}
	switch {
	case m.held && m.releasing:
		m.held = false
		return m.write(t, Value{Fence: m.fence})
	case m.mustGet && (m.held || m.candidate):
		return m.get(t)
	case m.held && m.fence == 0:
		// The first holder's token is the version of the object's creation, which is higher than every token before
		// a deletion of the object.
		return m.write(t, Value{Holder: m.Self, Incarnation: m.Incarnation, Fence: m.object.Version})
	case m.held && t.Now >= m.renewed.Now.Add(m.Rules.RenewInterval):
		return m.write(t, Value{Holder: m.Self, Incarnation: m.Incarnation, Fence: m.fence})
	case !m.held && m.candidate:
		return m.get(t)
	}
	return nil
}

func (m *Machine) get(t Times) []Command {
	if t.Now < m.nextGet {
		return nil
	}
	m.pending, m.nextGet = reading, t.Now.Add(m.Rules.PollInterval)
	return []Command{Get{}}
}

func (m *Machine) handleNoResponse() {
	if m.pending == writing {
		if !m.unknownPut {
			m.firstPutAt = m.putAt
		}
		m.unknownPut, m.mustGet = true, true
	}
	m.pending = noCommand
}

// handleGet applies the result of a read. It takes the lease if it is free and this VM is a candidate.
func (m *Machine) handleGet(t Times, e GetResult) []Command {
	old := m.object
	if e.Version != old.Version || m.changedAt == 0 {
		m.changedAt = t.Now
	}
	m.object = e
	own := e.Found && e.Value.Holder == m.Self && e.Value.Incarnation == m.Incarnation
	if own && m.unknownPut && e.Value == m.put.Value && e.Version > m.put.Version {
		m.unknownPut = false
		m.acquire(t, e, m.firstPutAt)
		return nil
	}
	// If the version is not the one that the write requires, the write can no longer take effect.
	m.unknownPut = m.unknownPut && e.Version == m.put.Version
	if own && m.held {
		return nil
	}
	m.held = false
	free := !e.Found || e.Value.Holder == "" || own || t.Now.Sub(m.changedAt) >= m.Rules.Length
	if !free || !m.candidate {
		return nil
	}
	v := Value{Holder: m.Self, Incarnation: m.Incarnation}
	if e.Found {
		v.Fence = max(e.Version, e.Value.Fence) + 1
	}
	return m.write(t, v)
}

func (m *Machine) handleStored(t Times, e Stored) {
	m.unknownPut = false
	object := GetResult{Found: true, Version: e.Version, Value: m.put.Value}
	m.object, m.changedAt = object, t.Now
	if m.put.Value.Holder == m.Self {
		m.acquire(t, object, m.putAt)
	}
}

// acquire records that a write of this VM, sent at s, took effect.
func (m *Machine) acquire(t Times, e GetResult, s Times) {
	if !m.held || m.fence != e.Value.Fence {
		m.acquired = t.Now
	}
	m.object = e
	m.held, m.fence, m.renewed = true, e.Value.Fence, s
	m.end = Times{Now: s.Now.Add(m.Rules.Length), Wall: s.Wall.Add(m.Rules.Length)}
}

func (m *Machine) write(t Times, v Value) []Command {
	version := m.object.Version
	if !m.object.Found {
		version = 0
	}
	p := Put{Version: version, Value: v}
	if p != m.put {
		m.unknownPut = false
	}
	m.put, m.putAt, m.pending = p, t, writing
	return []Command{p}
}

// expired reports whether at most left remains of the lease by either clock.
func (m *Machine) expired(t Times, left clock.Span) bool {
	return t.Now >= m.end.Now.Add(-left) || t.Wall >= m.end.Wall.Add(-left)
}

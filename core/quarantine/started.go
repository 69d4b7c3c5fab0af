package quarantine

import (
	"maps"
	"slices"

	"shallotrun/core/clock"
)

const (
	// maxStarted is the number of parts whose last start is kept.
	maxStarted = 4096
	// maxTails is the number of started prompts whose tails are kept, and maxTailParts that of their parts. No start time is kept for each
	// part of a tail, as one prompt could then displace those of all others.
	maxTails     = 64
	maxTailParts = 16384
	// maxBodies is the number of started requests whose Content.Body is kept. Most requests have one of their own.
	maxBodies = 256
)

// startTimes holds when an answer to a request with a part was last started on this VM.
type startTimes struct {
	at        map[startKey]clock.Time
	tails     []startedTail // of the latest starts, the oldest first
	tailParts int           // number of parts in tails
	bodies    [maxBodies]startedBody
	nextBody  int // index in bodies
}

// startedBody is the Content.Body of a request with which an answer was started.
type startedBody struct {
	startKey
	at clock.Time
}

// startKey is a part of a service's requests.
type startKey struct {
	service string
	part    uint64 // hash
}

// startedTail is the tail of a prompt with which an answer was started.
type startedTail struct {
	service string
	at      clock.Time
	tail    *Tail
}

// put records a start. When there are too many parts, those without a start in startedWindow are dropped, then any.
func (s *startTimes) put(now clock.Time, service string, part uint64) {
	if s.at == nil {
		s.at = make(map[startKey]clock.Time)
	}
	s.at[startKey{service, part}] = now
	if len(s.at) <= maxStarted {
		return
	}
	maps.DeleteFunc(s.at, func(_ startKey, at clock.Time) bool { return now.Sub(at) >= startedWindow })
	for key := range s.at {
		if len(s.at) <= maxStarted/2 {
			break
		}
		delete(s.at, key)
	}
}

// putTail records the start of a prompt with a tail. The oldest ones are dropped when there are too many.
func (s *startTimes) putTail(now clock.Time, service string, t *Tail) {
	if t == nil {
		return
	}
	s.tails, s.tailParts = append(s.tails, startedTail{service, now, t}), s.tailParts+t.n
	drop := 0
	for ; len(s.tails)-drop > maxTails || s.tailParts > maxTailParts; drop++ {
		s.tailParts -= s.tails[drop].tail.n
	}
	s.tails = slices.Delete(s.tails, 0, drop)
}

// putBody records the start of a request with a Content.Body.
func (s *startTimes) putBody(now clock.Time, service string, body uint64) {
	s.bodies[s.nextBody] = startedBody{startKey{service, body}, now}
	s.nextBody = (s.nextBody + 1) % maxBodies
}

// bodySince reports whether an answer to a request with a Content.Body was started later than a time.
func (s *startTimes) bodySince(from clock.Time, key startKey) bool {
	return slices.ContainsFunc(s.bodies[:], func(b startedBody) bool { return b.startKey == key && b.at > from })
}

// get returns when an answer to a request with a part was last started.
func (s *startTimes) get(service string, part uint64) (clock.Time, bool) {
	at, ok := s.at[startKey{service, part}]
	return at, ok
}

// learn gives those of the parts a start time that are in a tail. Tails are dropped after a short time, and the start times of parts that
// a crash accuses are needed for longer.
func (s *startTimes) learn(service string, parts []uint64) {
	for _, t := range slices.Backward(s.tails) {
		if t.service != service {
			continue
		}
		for _, h := range common(parts, t.tail.Hashes()) {
			if at, ok := s.get(service, h); !ok || at < t.at {
				s.put(t.at, service, h)
			}
		}
		if parts = without(parts, t.tail.Hashes()); len(parts) == 0 {
			return
		}
	}
}

// startedSince reports whether an answer to a request with each of the parts, which are sorted, was started later than a time.
func (s *startTimes) startedSince(from clock.Time, service string, parts []uint64) bool {
	left := slices.DeleteFunc(slices.Clone(parts), func(h uint64) bool {
		at, ok := s.get(service, h)
		return ok && at > from
	})
	for _, t := range slices.Backward(s.tails) {
		if len(left) == 0 {
			break
		}
		if t.service == service && t.at > from {
			left = without(left, t.tail.Hashes())
		}
	}
	return len(left) == 0
}

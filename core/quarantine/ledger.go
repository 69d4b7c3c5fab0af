package quarantine

import (
	"math"
	"math/bits"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/delta"
)

const (
	// maxRecords is the number of crashes that are kept.
	maxRecords = 96
	// maxParts is the number of parts of a request that are kept by name: shared parts of its prompt, and the one for the whole request.
	// VMs of earlier builds reject crashes with more.
	maxParts = 17
	// maxRest is the number of hashes of further parts that all crashes have together. Beyond it, parts that are known to be sound are
	// dropped first (see limitRest).
	maxRest = 8192
	// quietTime is how long a quarantine stays in force after the last crash, or the last request that was refused because of it.
	quietTime = clock.Minute
	// maxAge is the age at which a crash counts no more, even if such requests still come: the servers may have been mended.
	maxAge = 10 * clock.Minute
	// refusalStep is the least change of the time of the last refused request that is told to others.
	refusalStep = 5 * clock.Second
	// startedWindow is how long the start of an answer shows that a part does not end servers.
	startedWindow = 10 * clock.Second
	// repeatDelay is how long a prompt that ended one server is refused, unless all its parts are cleared. It doubles with each
	// further server.
	repeatDelay = 5 * clock.Second
)

// Ledger holds the crashes that this VM and others saw. Init is called before any other method.
type Ledger struct {
	records []*record
	started startTimes
	tried   map[string]clock.Time // last trial of this VM, by Rule.ID
	log     delta.Log

	rules      []Rule
	rulesRev   uint64     // revision of the ledger for which rules was computed
	rulesUntil clock.Time // time at which rules has to be computed again

	accusedParts []uint64 // result of accused
	accusedRev   uint64   // revision of the ledger for which it was computed
}

// Init sets the number that identifies the ledger to others: a random one that is not 0.
func (l *Ledger) Init(id uint64) { l.log.ID = id }

// record is one crash with what is known about it since.
type record struct {
	Crash
	hashes      []uint64 // of Parts
	at          clock.Time
	lastRefusal clock.Time // time of the crash, or when a request was last refused because of it
	cleared     uint64     // bit i is set if an answer to a request with Parts[i] was started after the crash
	rev         uint64     // of the last change
	source      uint64     // ledger from which the last change came, 0 for this VM
	own         bool       // this VM saw the crash
}

// RecordCrash adds a crash that this VM saw, which may be in the past. Parts with which this VM has started an answer since then
// are cleared.
func (l *Ledger) RecordCrash(at clock.Time, c Crash) {
	c.Parts = c.Parts[:min(len(c.Parts), maxParts)]
	if l.find(c) != nil {
		return
	}
	if c.Rest == nil {
		c.Rest = []uint64{}
	}
	if c.Body != 0 && !contains(c.Rest, c.Body) {
		c.Rest = append(slices.Clone(c.Rest), c.Body)
		slices.Sort(c.Rest)
	}
	r := &record{Crash: c, at: at, lastRefusal: at, own: true}
	l.add(at, r)
}

// RecordStart records that the answer to a request was started. It clears its parts of earlier crashes.
func (l *Ledger) RecordStart(now clock.Time, service string, c Content) {
	for _, p := range c.Parts {
		l.started.put(now, service, HashPart(p))
	}
	l.started.putTail(now, service, c.Tail)
	if c.Body != 0 {
		l.started.putBody(now, service, c.Body)
	}
	hit := c.among(l.accused())
	if len(hit) == 0 {
		return
	}
	for _, r := range l.records {
		if r.Service != service || r.at >= now {
			continue
		}
		parts := common(r.Rest, hit)
		for i, h := range r.hashes {
			if !r.isCleared(i) && contains(hit, h) {
				parts = append(parts, h)
			}
		}
		for _, h := range parts {
			l.started.put(now, service, h)
		}
		slices.Sort(parts)
		l.clear(r, parts)
	}
}

// accused returns the hashes of all parts that a crash has and that are not cleared, sorted. It may have further ones.
func (l *Ledger) accused() []uint64 {
	if l.accusedRev == l.log.Rev {
		return l.accusedParts
	}
	l.accusedParts, l.accusedRev = l.accusedParts[:0], l.log.Rev
	for _, r := range l.records {
		l.accusedParts = append(l.accusedParts, r.Rest...)
		for i, h := range r.hashes {
			if !r.isCleared(i) {
				l.accusedParts = append(l.accusedParts, h)
			}
		}
	}
	slices.Sort(l.accusedParts)
	l.accusedParts = slices.Compact(l.accusedParts)
	return l.accusedParts
}

// Proven reports whether an answer with each of the parts was started on this VM a short time ago, so none of them ends servers.
func (l *Ledger) Proven(now clock.Time, service string, c Content) bool {
	return l.started.startedSince(now.Add(-startedWindow), service, c.hashes())
}

// Check returns why a request must not be sent now, nil if it may be sent. With trial set it is sent to find out whether a rule that
// refuses it still holds: a server that ends under it must be recorded as a crash of a trial.
func (l *Ledger) Check(now clock.Time, q Request) (refusal *Refusal, trial bool) {
	if len(l.records) == 0 {
		return nil, false
	}
	var rules []Rule
	named := append(hashNames(q.Parts), q.Body)
	for _, rule := range l.Rules(now) {
		if rule.applies(&q, named) {
			rules = append(rules, rule)
		}
	}
	if len(rules) == 0 {
		return l.checkRepeat(now, q), false
	}
	rule := rules[0]
	if len(rules) == 1 && l.mayTry(now, rule, q) {
		return nil, true
	}
	l.recordRefusal(now, rule.crashes)
	return &Refusal{Parts: rule.Parts, Rest: rule.Rest, Servers: rule.Servers, Retry: quietTime}, false
}

// checkRepeat refuses a prompt that ended a server a moment ago, unless each of its parts is known not to end servers. A request that
// only ran at a server as it ended may be sent once more elsewhere: most servers end for another reason.
func (l *Ledger) checkRepeat(now clock.Time, q Request) *Refusal {
	var last *record
	servers := 0
	for _, r := range l.records {
		if !r.repeatedBy(q) || !r.active(now) || l.explained(now, r) {
			continue
		}
		servers++
		if last == nil || r.at > last.at {
			last = r
		}
	}
	if last == nil {
		return nil
	}
	left := last.at.Add(repeatDelay << min(servers-1, maxDoublings)).Sub(now)
	if left <= 0 {
		return nil
	}
	parts, rest := l.suspects(last)
	began := !last.NoHead && (len(rest) > 0 || slices.ContainsFunc(parts, func(p string) bool { return !isWhole(p) }))
	if len(parts)+len(rest) == 0 || servers < minRepeats && !began {
		return nil
	}
	return &Refusal{Parts: parts, Rest: rest, Servers: servers, Repeat: true, Retry: left}
}

// minRepeats is the number of servers that have to end under a request before it is refused, unless a server began to answer it and a
// part of its prompt may be to blame.
const minRepeats = 2

// explained reports whether a rule in force explains the end of the server by another request than the one of the record.
func (l *Ledger) explained(now clock.Time, r *record) bool {
	return slices.ContainsFunc(l.Rules(now), func(rule Rule) bool {
		return !slices.Contains(rule.crashes, r) && slices.ContainsFunc(rule.crashes, func(o *record) bool { return o.Server == r.Server })
	})
}

// Remembers reports whether crashes of a service's servers still count.
func (l *Ledger) Remembers(now clock.Time, service string) bool {
	return slices.ContainsFunc(l.records, func(r *record) bool { return r.Service == service && r.active(now) })
}

// maxDoublings bounds the doubling of repeatDelay.
const maxDoublings = 4

// suspects returns the parts of a crash that may have ended the server: those that are not cleared, except parts with which an
// answer was started just before the crash and that no other crash has.
func (l *Ledger) suspects(r *record) (names []string, rest []uint64) {
	sound := func(h uint64) bool {
		at, ok := l.started.get(r.Service, h)
		return ok && r.at.Sub(at) < startedWindow && !slices.ContainsFunc(l.records, func(o *record) bool { return o != r && o.accuses(r.Service, h) })
	}
	for i, p := range r.Parts {
		if !r.isCleared(i) && !sound(r.hashes[i]) {
			names = append(names, p)
		}
	}
	for _, h := range r.Rest {
		switch {
		case sound(h):
		case h == r.Body:
			names = append(names, BodyName(h))
		default:
			rest = append(rest, h)
		}
	}
	return names, rest
}

// recordRefusal records that a request was refused because of crashes, so that the quarantine stays in force.
func (l *Ledger) recordRefusal(now clock.Time, crashes []*record) {
	for _, r := range crashes {
		if now.Sub(r.lastRefusal) >= refusalStep {
			r.lastRefusal = now
			l.changed(r, 0)
		}
	}
}

// find returns the record of a crash, nil if there is none.
func (l *Ledger) find(c Crash) *record {
	i := slices.IndexFunc(l.records, func(r *record) bool {
		return r.Server == c.Server && r.Prompt == c.Prompt && r.Service == c.Service
	})
	if i < 0 {
		return nil
	}
	return l.records[i]
}

// add adds a record and clears those of its parts with which this VM has started an answer since the crash. It drops records that count no
// more, and beyond maxRecords the least useful one.
func (l *Ledger) add(now clock.Time, r *record) {
	r.hashes = hashNames(r.Parts)
	l.records = append(slices.DeleteFunc(l.records, func(r *record) bool { return !r.active(now) }), r)
	l.changed(r, r.source)
	if len(l.records) > maxRecords {
		dropped := l.leastUseful()
		l.records = slices.DeleteFunc(l.records, func(r *record) bool { return r == dropped })
		l.rulesUntil = now // the rules have to be computed again
	}
	l.started.learn(r.Service, r.Rest)
	l.clearStarted(r)
	l.limitRest()
}

// clear clears those of the parts, which are sorted hashes, that a crash has.
func (l *Ledger) clear(r *record, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	cleared, rest := r.cleared, without(r.Rest, parts)
	for i, h := range r.hashes {
		if contains(parts, h) {
			cleared |= 1 << i
		}
	}
	if cleared != r.cleared || len(rest) < len(r.Rest) {
		r.cleared, r.Rest = cleared, rest
		l.changed(r, 0)
	}
}

// changed gives a record the next revision.
func (l *Ledger) changed(r *record, source uint64) {
	r.rev, r.source = l.log.Next(), source
}

// active reports whether a crash still counts.
func (r *record) active(now clock.Time) bool { return now.Sub(r.at) < maxAge }

// repeatedBy reports whether a request is the one under which the server ended, sent again.
func (r *record) repeatedBy(q Request) bool {
	if r.Service != q.Service {
		return false
	}
	return r.Prompt == q.Prompt && q.Prompt != 0 || slices.ContainsFunc(r.Parts, func(p string) bool { return isWhole(p) && slices.Contains(q.Parts, p) })
}

func (r *record) isCleared(i int) bool { return r.cleared&(1<<i) != 0 }

// accusesAny reports whether any part of a crash is not cleared.
func (r *record) accusesAny() bool {
	return bits.OnesCount64(r.cleared) < len(r.Parts) || len(r.Rest) > 0
}

// accuses reports whether a crash has a part that is not cleared.
func (r *record) accuses(service string, part uint64) bool {
	if r.Service != service {
		return false
	}
	i := slices.Index(r.hashes, part)
	return i >= 0 && !r.isCleared(i) || contains(r.Rest, part)
}

// noTime is later than any other time.
const noTime = clock.Time(math.MaxInt64)

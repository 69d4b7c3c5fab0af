package quarantine

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
)

const (
	// A quarantine needs crashes of minServers servers under minPrompts prompts at minMoments moments that are momentGap apart.
	// Failures of many servers at once, or a single request that is repeated at servers that fail for another reason, do not
	// reach all three. A whole request is one prompt: it is to blame as soon as the other two are reached, unless an answer clears it.
	minServers = 3
	minPrompts = 2
	minMoments = 2
	momentGap  = 300 * clock.Millisecond
	// maxRules is the number of quarantines in force at the same time.
	maxRules = 8
)

// Rules returns the quarantines in force, the one with the most crashes first.
func (l *Ledger) Rules(now clock.Time) []Rule {
	if l.rulesRev == l.log.Rev && now < l.rulesUntil {
		return l.rules
	}
	l.rules, l.rulesRev, l.rulesUntil = nil, l.log.Rev, noTime
	var open []*record
	for _, r := range l.records {
		if r.active(now) {
			open = append(open, r)
			l.rulesUntil = min(l.rulesUntil, r.at.Add(maxAge))
		}
	}
	for len(l.rules) < maxRules {
		rule, ok := l.findRule(open)
		if !ok {
			break
		}
		if end := rule.end(); now < end {
			l.rules = append(l.rules, rule)
			l.rulesUntil = min(l.rulesUntil, end)
		}
		// The other requests at the servers whose end is explained are no evidence against anything else.
		open = slices.DeleteFunc(open, func(r *record) bool {
			return slices.ContainsFunc(rule.crashes, func(o *record) bool { return o.Server == r.Server })
		})
	}
	return l.rules
}

// suspect is a part of a service's prompts with the crashes of which it is not cleared.
type suspect struct {
	startKey
	name     string // "" if it is not known
	crashes  []*record
	servers  int
	answered bool // this VM started an answer to a request with the part, or the part stands for a whole request
}

// findRule returns the quarantine of the first sufficient suspect, with the parts that are in exactly the same crashes.
func (l *Ledger) findRule(crashes []*record) (Rule, bool) {
	all := l.findSuspects(crashes)
	i := slices.IndexFunc(all, func(s suspect) bool { return s.sufficient() })
	if i < 0 {
		return Rule{}, false
	}
	first := all[i]
	rule := Rule{Service: first.service, Servers: first.servers, crashes: first.crashes}
	for _, s := range all {
		if s.service != first.service || !slices.Equal(s.crashes, first.crashes) {
			continue
		}
		rule.answered = rule.answered || first.answered && s.answered && !isWhole(s.name)
		rule.hashes = append(rule.hashes, s.part)
		if s.name == "" {
			rule.Rest = append(rule.Rest, s.part)
		} else {
			rule.Parts = append(rule.Parts, s.name)
		}
	}
	slices.Sort(rule.Parts)
	slices.Sort(rule.Rest)
	slices.Sort(rule.hashes)
	if n := accusing(first.crashes); len(n) == 1 {
		rule.Workspaces = n
	}
	return rule, true
}

// accusing returns the workspaces whose requests alone ended a server. A request that another workspace had at a server when it
// ended is no evidence of its own.
func accusing(crashes []*record) []string {
	alone := slices.DeleteFunc(slices.Clone(crashes), func(r *record) bool {
		return slices.ContainsFunc(crashes, func(o *record) bool { return o.Server == r.Server && o.Workspace != r.Workspace })
	})
	return distinct(alone, func(r *record) string { return r.Workspace })
}

// findSuspects returns the suspects, the most likely one first. Requests that wait at a server as it ends are in its crashes too, so a
// part that many requests share, sound ones as well, is in the crashes of as many servers as the part that is to blame, or of more.
// Shared parts with which this VM started no answer before therefore come first, whatever the number of servers. Of parts in the crashes
// of as many servers the one in fewer crashes comes first: a part that all requests have is in all crashes, and fewer callers suffer if
// a rare part is refused by mistake. The part to blame ends further servers then, which brings it to the front. A body that this VM has
// answered a moment before a crash, with another prompt, is that of many requests and no suspect; each of these is one by itself.
func (l *Ledger) findSuspects(crashes []*record) (out []suspect) {
	index := make(map[startKey]int)
	add := func(r *record, h uint64, name string) {
		key := startKey{r.Service, h}
		n, ok := index[key]
		if !ok {
			n = len(out)
			index[key] = n
			out = append(out, suspect{startKey: key})
		}
		s := &out[n]
		if s.name == "" {
			s.name = name
		}
		if len(s.crashes) == 0 || s.crashes[len(s.crashes)-1] != r {
			s.crashes = append(s.crashes, r)
		}
	}
	for _, r := range crashes {
		for i, p := range r.Parts {
			if !r.isCleared(i) {
				add(r, r.hashes[i], p)
			}
		}
		for _, h := range r.Rest {
			switch {
			case h != r.Body:
				add(r, h, "")
			case !l.started.bodySince(r.at.Add(-startedWindow), startKey{r.Service, h}):
				add(r, h, BodyName(h))
			}
		}
	}
	// A prompt can have hundreds of parts, most of which are in few crashes.
	out = slices.DeleteFunc(out, func(s suspect) bool { return len(s.crashes) < minServers })
	for i := range out {
		s := &out[i]
		_, answered := l.started.get(s.service, s.part)
		s.answered = answered || isWhole(s.name)
		s.servers = len(distinct(s.crashes, func(r *record) string { return r.Server }))
	}
	slices.SortFunc(out, compareSuspects)
	return out
}

// compareSuspects orders suspects by how likely they are to blame.
func compareSuspects(a, b suspect) int {
	switch {
	case a.answered && !b.answered:
		return 1
	case b.answered && !a.answered:
		return -1
	}
	return cmp.Or(
		cmp.Compare(b.servers, a.servers), cmp.Compare(len(a.crashes), len(b.crashes)),
		cmp.Compare(a.service, b.service), cmp.Compare(a.name, b.name), cmp.Compare(a.part, b.part),
	)
}

// sufficient reports whether the crashes are enough for a quarantine.
func (s *suspect) sufficient() bool {
	prompts := distinct(s.crashes, func(r *record) uint64 { return r.Prompt })
	return s.servers >= minServers && (len(prompts) >= minPrompts || isWhole(s.name)) && moments(s.crashes) >= minMoments
}

// moments returns the number of moments, momentGap or more apart, at which the crashes happened.
func moments(crashes []*record) (n int) {
	times := distinct(crashes, func(r *record) clock.Time { return r.at })
	last := clock.Time(0)
	for _, at := range times {
		if n == 0 || at.Sub(last) >= momentGap {
			n, last = n+1, at
		}
	}
	return n
}

// end returns the time at which the quarantine ends if there are no more crashes and requests.
func (r *Rule) end() clock.Time {
	last := slices.MaxFunc(r.crashes, func(a, b *record) int { return cmp.Compare(a.lastRefusal, b.lastRefusal) })
	return last.lastRefusal.Add(quietTime)
}

// distinct returns the values of a field of the crashes, sorted.
func distinct[T cmp.Ordered](crashes []*record, field func(*record) T) (out []T) {
	for _, r := range crashes {
		out = append(out, field(r))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Shown returns what lines and metrics say of the parts: a few texts at the most.
func (r *Rule) Shown() []string { return Describe(r.Parts, r.Rest, HashName) }

// ID returns a text that is the same for rules with the same service, parts and workspaces.
func (r *Rule) ID() string {
	h := xxhash.New()
	for _, p := range r.hashes {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, p))
	}
	return fmt.Sprint(r.Service, r.Workspaces, h.Sum64())
}

// applies reports whether the rule refuses a request. named are the hashes of the request's parts that have a name.
func (r *Rule) applies(q *Request, named []uint64) bool {
	if r.Service != q.Service || r.Workspaces != nil && !slices.Contains(r.Workspaces, q.Workspace) {
		return false
	}
	return !slices.ContainsFunc(r.hashes, func(h uint64) bool { return !slices.Contains(named, h) && !contains(q.Tail.Hashes(), h) })
}

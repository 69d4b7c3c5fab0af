package quarantine

import (
	"cmp"
	"slices"

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
	service, part string
	crashes       []*record
	servers       int
	answered      bool // this VM started an answer to a request with the part, or the part stands for a whole request
}

// findRule returns the quarantine of the first sufficient suspect, with the parts that are in exactly the same crashes.
func (l *Ledger) findRule(crashes []*record) (Rule, bool) {
	all := l.findSuspects(crashes)
	i := slices.IndexFunc(all, func(s suspect) bool { return s.sufficient() })
	if i < 0 {
		return Rule{}, false
	}
	first := all[i]
	rule := Rule{Service: first.service, Servers: first.servers, crashes: first.crashes, answered: first.answered && !isWhole(first.part)}
	for _, s := range all {
		if s.service == first.service && slices.Equal(s.crashes, first.crashes) {
			rule.Parts = append(rule.Parts, s.part)
		}
	}
	slices.Sort(rule.Parts)
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
// a rare part is refused by mistake. The part to blame ends further servers then, which brings it to the front.
func (l *Ledger) findSuspects(crashes []*record) (out []suspect) {
	index := make(map[[2]string]int)
	for _, r := range crashes {
		for i, p := range r.Parts {
			if r.isCleared(i) || slices.Contains(r.Parts[:i], p) {
				continue
			}
			key := [2]string{r.Service, p}
			n, ok := index[key]
			if !ok {
				n = len(out)
				index[key] = n
				_, answered := l.started.get(r.Service, p)
				out = append(out, suspect{service: r.Service, part: p, answered: answered || isWhole(p)})
			}
			out[n].crashes = append(out[n].crashes, r)
		}
	}
	for i := range out {
		out[i].servers = len(distinct(out[i].crashes, func(r *record) string { return r.Server }))
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
		cmp.Compare(a.service, b.service), cmp.Compare(a.part, b.part),
	)
}

// sufficient reports whether the crashes are enough for a quarantine.
func (s *suspect) sufficient() bool {
	prompts := distinct(s.crashes, func(r *record) uint64 { return r.Prompt })
	return s.servers >= minServers && (len(prompts) >= minPrompts || isWhole(s.part)) && moments(s.crashes) >= minMoments
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

// applies reports whether the rule refuses a request.
func (r *Rule) applies(q Request) bool {
	if r.Service != q.Service || r.Workspaces != nil && !slices.Contains(r.Workspaces, q.Workspace) {
		return false
	}
	return !slices.ContainsFunc(r.Parts, func(p string) bool { return !slices.Contains(q.Parts, p) })
}

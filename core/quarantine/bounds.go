package quarantine

import (
	"cmp"
	"slices"
)

// limitRest drops hashes of further parts while there are more than maxRest. Parts that this VM has answered go before the others, and those
// of crashes that are no evidence of a rule in force, at which the request may only have waited, or that have the most parts, go first. A
// part that is to blame and is dropped is in the next crash again.
func (l *Ledger) limitRest() {
	total := 0
	for _, r := range l.records {
		total += len(r.Rest)
	}
	if total <= maxRest {
		return
	}
	evidence := l.evidence()
	all := slices.SortedStableFunc(slices.Values(l.records), func(a, b *record) int {
		return cmp.Or(compareBools(evidence[a], evidence[b]), compareBools(b.NoHead, a.NoHead), cmp.Compare(len(b.Rest), len(a.Rest)))
	})
	for _, onlyAnswered := range []bool{true, false} {
		for _, r := range all {
			if total <= maxRest {
				return
			}
			left := slices.DeleteFunc(slices.Clone(r.Rest), func(h uint64) bool {
				_, answered := l.started.get(r.Service, h)
				return h != r.Body && (answered || !onlyAnswered)
			})
			total -= len(r.Rest) - len(left)
			r.Rest, l.rulesUntil = left, 0 // the rules have to be computed again
		}
	}
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// evidence returns the crashes that the rules in force rest on, as they were last computed.
func (l *Ledger) evidence() map[*record]bool {
	out := make(map[*record]bool)
	for _, rule := range l.rules {
		for _, r := range rule.crashes {
			out[r] = true
		}
	}
	return out
}

// leastUseful returns the record to drop: one that accuses nothing any more, then one that is no evidence of a rule in force, then the one
// whose last refusal is oldest. When many servers end at once, the requests that waited there would otherwise displace the evidence of the
// rules, and servers would end under the refused requests again. The rules are those that were last computed.
func (l *Ledger) leastUseful() *record {
	if r := oldest(l.records, func(r *record) bool { return !r.accusesAny() }); r != nil {
		return r
	}
	evidence := l.evidence()
	if r := oldest(l.records, func(r *record) bool { return !evidence[r] }); r != nil {
		return r
	}
	return oldest(l.records, func(*record) bool { return true })
}

// oldest returns the record whose last refusal is oldest among those that are of a kind, nil if there are none.
func oldest(all []*record, is func(r *record) bool) (found *record) {
	for _, r := range all {
		if is(r) && (found == nil || r.lastRefusal < found.lastRefusal) {
			found = r
		}
	}
	return found
}

package share

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"shallotrun/core/clock"
)

const (
	// divideInterval is the least time between two divisions by an owner that is polled: many holders report in that time.
	divideInterval = 250 * clock.Millisecond
	// rotateInterval is how long the same holders are first when there are fewer slots than holders that want one.
	rotateInterval = 2 * clock.Second
	// polledValidity is the validity of the grants of an owner that is polled: five polls, as a fleet whose top has changed waits until
	// all of them have expired.
	polledValidity = 1500 * clock.Millisecond
	// maxHolders bounds the holders of an owner whose members are all that report.
	maxHolders = 4096
)

// Poll applies a holder's report and returns its grant, as an owner does that is polled. It returns false for an outdated report.
func (o *Owner) Poll(now clock.Time, r Report) (Grant, bool) {
	if o.holders == nil {
		o.started, o.startTime, o.holders = true, now, make(map[string]*holderState)
	}
	h := o.record(now, r)
	if h == nil {
		return Grant{}, false
	}
	if o.changed || now.Sub(o.dividedAt) >= divideInterval {
		o.changed, o.dividedAt = false, now
		o.regrant(now)
	}
	return o.send(now, h), true
}

// setServers sets the slots of the servers.
func (o *Owner) setServers(slots map[string]int) {
	if !maps.Equal(o.Servers, slots) {
		o.Servers, o.changed = slots, true
	}
}

// committed returns a report with what all holders together use, want, and may still use.
func (o *Owner) committed() Report {
	out := Report{Running: make(map[string]int), Slots: make(map[string]int)}
	for _, h := range o.holders {
		for s := range o.Servers {
			if n := h.running[s]; n > 0 {
				out.Running[s] += n
			}
			if n := max(h.grant[s], h.maxHeld[s], h.running[s]); n > 0 {
				out.Slots[s] += n
			}
		}
		for r := range h.active {
			out.Active[r] += h.active[r]
			out.Waiting[r] += h.waiting[r]
		}
	}
	return out
}

// order returns the names of the holders in the order in which they get slots that cannot be divided equally. An owner that is
// polled changes the order all the time, so that none of its holders is last for good.
func (o *Owner) order(now clock.Time) []string {
	names := slices.Sorted(maps.Keys(o.holders))
	if !o.Polled {
		return names
	}
	turn := strconv.FormatInt(int64(now)/int64(rotateInterval), 10)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(turn+a), xxhash.Sum64String(turn+b)), cmp.Compare(a, b))
	})
	return names
}

// validity returns the validity of a grant.
func (o *Owner) validity() clock.Span {
	if o.Polled {
		return polledValidity
	}
	return GrantValidity
}

// surplus returns how many slots a holder may keep beyond its part: moving one back and forth costs more than it gains, unless the
// slots are few and another holder has none.
func (o *Owner) surplus() int {
	if o.Polled {
		return 0
	}
	return 1
}

// takeBackExcess takes back slots of each server of which more are granted than it has now, from the last holders first, and all
// slots of a server that was removed: they would count as slots that their holders have, and keep these from getting others.
func (o *Owner) takeBackExcess(names []string, changed map[string]bool) {
	servers := make(map[string]int)
	for _, h := range o.holders {
		for s := range h.grant {
			servers[s] = o.Servers[s]
		}
	}
	for s, n := range servers {
		for _, name := range names {
			h := o.holders[name]
			if keep := min(h.grant[s], max(n, 0)); keep < h.grant[s] {
				h.maxHeld = maxPerServer(h.maxHeld, h.grant)
				h.grant = maps.Clone(h.grant)
				if h.grant[s] = keep; keep == 0 {
					delete(h.grant, s)
				}
				changed[name] = true
			}
			n -= h.grant[s]
		}
	}
}

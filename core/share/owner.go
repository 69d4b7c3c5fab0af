package share

import (
	"cmp"
	"maps"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Owner divides the slots of one pool. Set the exported fields before the first call; Servers and Members may be changed
// between calls.
type Owner struct {
	Policy  Policy // nil means Demand{}
	Name    string
	Servers map[string]int // slots of each server
	Members []string       // entry VMs that use the pool

	holders map[string]*holder
	hold    work.Rank
	began   clock.Time
	started bool
	seq     uint64
}

// holder is what the owner knows about one entry VM.
type holder struct {
	name    string
	active  [work.Ranks]int
	waiting [work.Ranks]int
	running map[string]int
	grant   map[string]int // sent last
	peak    map[string]int // most that it may believe to have until it confirms the last grant
	seq     uint64         // of the grant sent last
	num     uint64         // of the latest ask
	keep    [work.Ranks]int
	until   clock.Time // end of all its grants
}

// Ask takes in a holder's report and returns the grants to send: one for the holder itself, and one for each other
// holder that has to give slots back or gets slots that it waits for.
func (o *Owner) Ask(now clock.Time, a Ask) []Grant {
	if !o.started {
		o.started, o.began, o.holders = true, now, make(map[string]*holder)
	}
	o.expire(now)
	h := o.holders[a.VM]
	if h == nil && !slices.Contains(o.Members, a.VM) {
		return nil // a name that nobody vouches for would take memory and slots
	}
	o.clean(&a)
	if h == nil {
		h = &holder{name: a.VM, grant: maps.Clone(a.Slots)}
		o.holders[a.VM] = h
	}
	if a.Num <= h.num {
		return nil // overtaken by a later one
	}
	h.active, h.waiting, h.running, h.num = a.Active, a.Waiting, a.Running, a.Num
	if a.Owner != o.Name || a.Seq != h.seq {
		h.peak = most(h.peak, a.Slots)
	} else {
		// The holder may have given slots back.
		h.grant = least(h.grant, a.Slots)
		h.peak = h.grant
	}
	h.until = now.Add(Expiry + Expiry/4)
	changed := o.regrant(now)
	changed[a.VM] = true
	var out []Grant
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		out = append(out, o.send(o.holders[name]))
	}
	return out
}

// demandMost bounds the demand that a holder may report; more makes no difference to the division.
const demandMost = 1 << 20

// clean brings an ask into the limits of what a holder can have, as it comes from another process.
func (o *Owner) clean(a *Ask) {
	limit := func(m map[string]int) map[string]int {
		out := make(map[string]int, len(o.Servers))
		for s, n := range o.Servers {
			if v := m[s]; v > 0 {
				out[s] = min(v, n)
			}
		}
		return out
	}
	a.Running, a.Slots = limit(a.Running), limit(a.Slots)
	for r := range a.Active {
		a.Active[r] = min(max(a.Active[r], 0), demandMost)
		a.Waiting[r] = min(max(a.Waiting[r], 0), demandMost)
	}
}

// Leave forgets a holder that stopped and has no requests left.
func (o *Owner) Leave(vm string) { delete(o.holders, vm) }

func (o *Owner) send(h *holder) Grant {
	o.seq++
	h.seq = o.seq
	return Grant{VM: h.name, Owner: o.Name, Seq: h.seq, Num: h.num, Slots: maps.Clone(h.grant), Hold: o.hold, Keep: h.keep, Span: Expiry}
}

// expire drops holders whose grants have ended.
func (o *Owner) expire(now clock.Time) {
	for name, h := range o.holders {
		if now >= h.until {
			delete(o.holders, name)
		}
	}
}

// settled reports whether the owner knows of all slots that may be in use.
func (o *Owner) settled(now clock.Time) bool {
	if now.Sub(o.began) >= Expiry+Expiry/4 {
		return true
	}
	for _, name := range o.Members {
		if o.holders[name] == nil {
			return false
		}
	}
	return true
}

// regrant moves the grants towards the division, and returns the holders whose grant changed and who have to know now.
func (o *Owner) regrant(now clock.Time) map[string]bool {
	changed := make(map[string]bool)
	if !o.settled(now) {
		return changed
	}
	names := slices.Sorted(maps.Keys(o.holders))
	total, wants := 0, make([][work.Ranks]int, len(names))
	for s, n := range o.Servers {
		total += n - o.fallbacks(s)
	}
	for i, name := range names {
		wants[i] = o.holders[name].want()
	}
	target, keep := divide(o.policy(), max(total, 0), wants)
	hold := o.missing()
	for i, name := range names {
		h := o.holders[name]
		h.keep = keep[i]
		target[i] = h.need(target[i], hold)
		// Single slots are left where they are: moving them back and forth would cost more than it gains.
		if (hold > 0 || sum(h.grant) > target[i]+1) && h.shrink(target[i], o.Servers) || hold != o.hold && h.lower() {
			changed[name] = true
		}
	}
	o.hold = hold
	free := o.free()
	for _, i := range o.byUrgency(names) {
		h := o.holders[names[i]]
		if h.grow(target[i], free) && h.waits() {
			changed[names[i]] = true
		}
	}
	return changed
}

// byUrgency returns the indices of the holders, those with the most urgent waiting work first.
func (o *Owner) byUrgency(names []string) []int {
	order := make([]int, len(names))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, k int) int {
		a, b := o.holders[names[i]].waiting, o.holders[names[k]].waiting
		return cmp.Or(cmp.Compare(min(b[0], 1), min(a[0], 1)), cmp.Compare(min(b[1], 1), min(a[1], 1)))
	})
	return order
}

// missing returns the hold to set: 1 more than the most urgent rank, above the last, that waits anywhere.
func (o *Owner) missing() work.Rank {
	if _, ok := o.policy().(Demand); !ok {
		return 0
	}
	for r := work.Urgent; r < work.Batch; r++ {
		for _, h := range o.holders {
			if h.waiting[r] > 0 {
				return r + 1
			}
		}
	}
	return 0
}

// free returns the slots of each server that nobody may use.
func (o *Owner) free() map[string]int {
	free := maps.Clone(o.Servers)
	for s := range free {
		free[s] -= o.fallbacks(s)
		for _, h := range o.holders {
			free[s] -= max(h.grant[s], h.peak[s], h.running[s])
		}
	}
	return free
}

// fallbacks returns the slots of a server that members without contact take for themselves.
func (o *Owner) fallbacks(server string) int {
	n := 0
	for _, name := range o.Members {
		if o.holders[name] == nil {
			n++
		}
	}
	return n * Fallback(o.Servers[server], len(o.Members))
}

func (o *Owner) policy() Policy {
	if o.Policy == nil {
		return Demand{}
	}
	return o.Policy
}

// want returns the running and waiting requests of each rank.
func (h *holder) want() (w [work.Ranks]int) {
	for r := range w {
		w[r] = h.active[r] + h.waiting[r]
	}
	return w
}

// need returns the slots that a holder should have by its part in the division and under a hold. Requests that run
// keep their slots, so what waits and is more urgent than the hold needs slots on top of those.
func (h *holder) need(part int, hold work.Rank) int {
	if hold == 0 {
		return part
	}
	n := sum(h.running)
	for r := range hold {
		n += h.waiting[r]
	}
	if h.waits() && n == sum(h.running) {
		return min(part, n)
	}
	return n
}

// waits reports whether the holder has requests that wait.
func (h *holder) waits() bool { return h.waiting != [work.Ranks]int{} }

// lower reports whether the holder has work that a hold may stop.
func (h *holder) lower() bool { return h.waiting[work.Normal]+h.waiting[work.Batch] > 0 }

// shrink takes slots back until the target is met, unused ones first, and those of servers that are gone.
func (h *holder) shrink(target int, servers map[string]int) bool {
	changed := false
	for s := range h.grant {
		if servers[s] == 0 {
			delete(h.grant, s)
			changed = true
		}
	}
	for n := sum(h.grant); n > target; n-- {
		if !changed {
			h.peak = most(h.peak, h.grant)
			h.grant = maps.Clone(h.grant)
			changed = true
		}
		best := ""
		for _, s := range slices.Sorted(maps.Keys(h.grant)) {
			if h.grant[s] > 0 && (best == "" || h.grant[s]-h.running[s] > h.grant[best]-h.running[best]) {
				best = s
			}
		}
		h.grant[best]--
	}
	return changed
}

// grow adds free slots until the target is met, at the servers with the most free ones first.
func (h *holder) grow(target int, free map[string]int) bool {
	grown := false
	for n := sum(h.grant); n < target; n++ {
		best := ""
		for _, s := range slices.Sorted(maps.Keys(free)) {
			if free[s] > 0 && (best == "" || free[s] > free[best]) {
				best = s
			}
		}
		if best == "" {
			return grown
		}
		if !grown {
			h.grant = maps.Clone(h.grant)
			grown = true
		}
		if h.grant == nil {
			h.grant = make(map[string]int)
		}
		h.grant[best]++
		// What the holder may still believe to have was taken off the free slots already.
		if h.grant[best] > max(h.peak[best], h.running[best]) {
			free[best]--
		}
	}
	return grown
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// most returns the larger number of each server.
func most(a, b map[string]int) map[string]int {
	out := maps.Clone(a)
	if out == nil {
		out = make(map[string]int)
	}
	for s, n := range b {
		out[s] = max(out[s], n)
	}
	return out
}

// least returns the smaller number of each server.
func least(a, b map[string]int) map[string]int {
	out := make(map[string]int, len(a))
	for s, n := range a {
		out[s] = min(n, b[s])
	}
	return out
}

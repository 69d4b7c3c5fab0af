package share

import (
	"cmp"
	"maps"
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Owner divides the slots of one pool. Set the exported fields before the first call. Servers and Members may be changed between
// calls.
type Owner struct {
	Policy  Policy // nil means Demand{}
	Name    string
	Servers map[string]int // slots of each server
	Members []string       // entry VMs that use the pool
	// Polled means that a grant reaches its holder only with the answer to the holder's own report, so a report says exactly what
	// its holder has until it is answered. Members are then all that report, and whoever sets Servers waits until every grant of
	// another owner has expired.
	Polled bool
	Until  clock.Time // when the owner's own right to the slots ends, 0 for never; no grant lasts longer

	holders   map[string]*holderState
	holdFrom  work.Rank
	startTime clock.Time
	started   bool
	seq       uint64
	changed   bool       // Servers changed since the last division
	dividedAt clock.Time // time of the last division
}

// holderState is the owner's state of one entry VM.
type holderState struct {
	name      string
	active    [work.Ranks]int
	waiting   [work.Ranks]int
	running   map[string]int
	grant     map[string]int // slots of the grant sent last
	maxHeld   map[string]int // maximum that the holder may still use until it confirms the last grant
	seq       uint64         // Seq of the grant sent last
	num       uint64         // Num of the latest report
	holdLimit [work.Ranks]int
	expiresAt clock.Time // when all its grants have expired
}

// Report applies a holder's report and returns the grants to send: one for the holder itself, and one for each other holder that
// has to give back slots or gets slots that it waits for. It returns none for an outdated report or a VM that is not a member.
func (o *Owner) Report(now clock.Time, r Report) []Grant {
	if !o.started {
		o.started, o.startTime, o.holders = true, now, make(map[string]*holderState)
	}
	if o.record(now, r) == nil {
		return nil
	}
	changed := o.regrant(now)
	changed[r.VM] = true
	var out []Grant
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		out = append(out, o.send(now, o.holders[name]))
	}
	return out
}

// record records a report. It returns nil for an outdated one and for a VM that is not a member.
func (o *Owner) record(now clock.Time, r Report) *holderState {
	o.expire(now)
	h := o.holders[r.VM]
	if h == nil && !o.isMember(r.VM) {
		return nil // state of a VM that is not a member would use memory and slots
	}
	o.sanitize(&r)
	if h == nil {
		h = &holderState{name: r.VM}
		if !o.Polled {
			h.grant = maps.Clone(r.Slots)
		}
		o.holders[r.VM] = h
	}
	if r.Num <= h.num {
		return nil // a later report arrived first
	}
	h.active, h.waiting, h.running, h.num = r.Active, r.Waiting, r.Running, r.Num
	switch {
	case o.Polled:
		h.maxHeld = r.Slots
	case r.Owner != o.Name || r.Seq != h.seq:
		h.maxHeld = maxPerServer(h.maxHeld, r.Slots)
	default:
		// The holder may have given slots back.
		h.grant = minPerServer(h.grant, r.Slots)
		h.maxHeld = h.grant
	}
	h.expiresAt = now.Add(o.validity() + o.validity()/4)
	return h
}

// isMember reports whether a VM may report to this owner.
func (o *Owner) isMember(vm string) bool {
	if o.Polled {
		return len(o.holders) < maxHolders
	}
	return slices.Contains(o.Members, vm)
}

// maxDemand bounds the demand that a holder may report. A higher demand makes no difference to the division.
const maxDemand = 1 << 20

// sanitize limits the values of a report, which comes from another process, to what a holder can have.
func (o *Owner) sanitize(a *Report) {
	limit := func(m map[string]int) map[string]int {
		out := make(map[string]int, len(o.Servers))
		for s, n := range o.Servers {
			if o.Polled {
				n = maxRateSlots * maxHolders // of a server whose slots were reduced, more may still be held
			}
			if v := m[s]; v > 0 {
				out[s] = min(v, n)
			}
		}
		return out
	}
	a.Running, a.Slots = limit(a.Running), limit(a.Slots)
	for r := range a.Active {
		a.Active[r] = min(max(a.Active[r], 0), maxDemand)
		a.Waiting[r] = min(max(a.Waiting[r], 0), maxDemand)
	}
}

// Leave removes a holder that has stopped and has no requests left.
func (o *Owner) Leave(vm string) { delete(o.holders, vm) }

func (o *Owner) send(now clock.Time, h *holderState) Grant {
	o.seq++
	h.seq = o.seq
	span := o.validity()
	if o.Until > 0 {
		span = max(min(span, o.Until.Sub(now)), 0)
	}
	return Grant{
		VM: h.name, Owner: o.Name, Seq: h.seq, Num: h.num, Slots: maps.Clone(h.grant),
		HoldFrom: o.holdFrom, HoldLimit: h.holdLimit, Span: span,
	}
}

// expire removes the holders whose grants have all expired.
func (o *Owner) expire(now clock.Time) {
	for name, h := range o.holders {
		if now >= h.expiresAt {
			delete(o.holders, name)
		}
	}
}

// settled reports whether the owner has a record of all slots that may be in use.
func (o *Owner) settled(now clock.Time) bool {
	if o.Polled || now.Sub(o.startTime) >= GrantValidity+GrantValidity/4 {
		return true
	}
	for _, name := range o.Members {
		if o.holders[name] == nil {
			return false
		}
	}
	return true
}

// regrant moves the grants towards the division, and returns the holders to which a changed grant has to be sent immediately.
func (o *Owner) regrant(now clock.Time) map[string]bool {
	changed := make(map[string]bool)
	if !o.settled(now) {
		return changed
	}
	names := o.order(now)
	o.takeBackExcess(names, changed)
	total, wants := 0, make([][work.Ranks]int, len(names))
	for s, n := range o.Servers {
		total += n - o.fallbackSlots(s)
	}
	for i, name := range names {
		wants[i] = o.holders[name].demand()
	}
	target, holdLimit := divide(o.policy(), max(total, 0), wants)
	holdFrom := o.demandedHold()
	for i, name := range names {
		h := o.holders[name]
		h.holdLimit = holdLimit[i]
		target[i] = h.required(target[i], holdFrom)
		if (holdFrom > 0 || sum(h.grant) > target[i]+o.surplus()) && h.shrink(target[i]) || holdFrom != o.holdFrom && h.hasLowerRanks() {
			changed[name] = true
		}
	}
	o.holdFrom = holdFrom
	freeSlots := o.freeSlots()
	for _, i := range o.byUrgency(names) {
		h := o.holders[names[i]]
		if h.grow(target[i], freeSlots) && h.hasWaiting() {
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

// demandedHold returns the first rank to hold: the one after the most urgent rank that waits on any VM. It is 0 if only the last
// rank or none waits.
func (o *Owner) demandedHold() work.Rank {
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

// freeSlots returns the slots of each server that no VM may use.
func (o *Owner) freeSlots() map[string]int {
	freeSlots := maps.Clone(o.Servers)
	for s := range freeSlots {
		freeSlots[s] -= o.fallbackSlots(s)
		for _, h := range o.holders {
			freeSlots[s] -= max(h.grant[s], h.maxHeld[s], h.running[s])
		}
	}
	return freeSlots
}

// fallbackSlots returns the slots of a server that members without a report may use without a grant.
func (o *Owner) fallbackSlots(server string) int {
	n := 0
	for _, name := range o.Members {
		if o.holders[name] == nil {
			n++
		}
	}
	return n * FallbackSlots(o.Servers[server], len(o.Members))
}

func (o *Owner) policy() Policy {
	if o.Policy == nil {
		return Demand{}
	}
	return o.Policy
}

// demand returns the running and waiting requests of each rank.
func (h *holderState) demand() (w [work.Ranks]int) {
	for r := range w {
		w[r] = h.active[r] + h.waiting[r]
	}
	return w
}

// required returns the slots that a holder should have, given its part in the division and the first rank to hold. Running
// requests keep their slots, so the waiting requests that are not held need slots in addition.
func (h *holderState) required(part int, holdFrom work.Rank) int {
	if holdFrom == 0 {
		return part
	}
	n := sum(h.running)
	for r := range holdFrom {
		n += h.waiting[r]
	}
	if h.hasWaiting() && n == sum(h.running) {
		return min(part, n)
	}
	return n
}

// hasWaiting reports whether the holder has waiting requests.
func (h *holderState) hasWaiting() bool { return h.waiting != [work.Ranks]int{} }

// hasLowerRanks reports whether the holder has waiting requests of the ranks that a hold can stop.
func (h *holderState) hasLowerRanks() bool { return h.waiting[work.Normal]+h.waiting[work.Batch] > 0 }

// shrink takes back slots until the target is met, those of the server with the most unused ones first.
func (h *holderState) shrink(target int) bool {
	before := h.grant
	h.grant = maps.Clone(before)
	for n := sum(h.grant); n > target; n-- {
		best := ""
		for _, s := range slices.Sorted(maps.Keys(h.grant)) {
			if h.grant[s] > 0 && (best == "" || h.grant[s]-h.running[s] > h.grant[best]-h.running[best]) {
				best = s
			}
		}
		h.grant[best]--
	}
	if maps.Equal(before, h.grant) {
		h.grant = before
		return false
	}
	h.maxHeld = maxPerServer(h.maxHeld, before)
	return true
}

// grow adds free slots until the target is met, at the server with the most free ones first.
func (h *holderState) grow(target int, freeSlots map[string]int) bool {
	grown := false
	for n := sum(h.grant); n < target; n++ {
		best := ""
		for _, s := range slices.Sorted(maps.Keys(freeSlots)) {
			if freeSlots[s] > 0 && (best == "" || freeSlots[s] > freeSlots[best]) {
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
		// Slots that the holder may still use are already excluded from the free ones.
		if h.grant[best] > max(h.maxHeld[best], h.running[best]) {
			freeSlots[best]--
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

// maxPerServer returns the larger number for each server of a and b.
func maxPerServer(a, b map[string]int) map[string]int {
	out := maps.Clone(a)
	if out == nil {
		out = make(map[string]int)
	}
	for s, n := range b {
		out[s] = max(out[s], n)
	}
	return out
}

// minPerServer returns the smaller number for each server of a.
func minPerServer(a, b map[string]int) map[string]int {
	out := make(map[string]int, len(a))
	for s, n := range a {
		out[s] = min(n, b[s])
	}
	return out
}

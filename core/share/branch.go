package share

import (
	"slices"

	"shallotrun/core/clock"
	"shallotrun/core/work"
)

// Branch divides the limits of one pool's servers, those that they name and those of cold ones, at one VM of a tree: among this VM and
// those that follow it. It gets its own part from the VM that it follows. Each part is a lease that ends no later than the one that it comes from.
//
// VMs ask for their parts with messages that they exchange anyway, so a part that changes takes that long to arrive, and no
// request waits for it. Init is called before any other method, Update before each of the others at the same time.
type Branch struct {
	// Extra is the number of slots by server beyond those of other limits of the same rate. It is set before Update.
	Extra map[string]int

	rates  map[string]float64 // limits by server, in requests a second
	up     Holder             // what the VM that is followed grants
	own    Holder             // the part of this VM
	owner  Owner              // divides it among this VM and its followers
	starts map[string][]clock.Time
	turns  turns
	refusals
}

// Init sets the name of this VM with its incarnation.
func (b *Branch) Init(vm string) {
	b.up.VM, b.own.VM = vm, vm
	b.owner = Owner{Name: vm, Polled: true, Servers: make(map[string]int)}
	b.starts = make(map[string][]clock.Time)
}

// Update sets the limits of the servers, in requests a second, and brings this VM's part up to date. owns reports whether this VM
// divides the limit of a server for the whole fleet; nil means that it follows another VM.
func (b *Branch) Update(now clock.Time, rates map[string]float64, owns func(server string) bool) {
	b.rates = rates
	total := make(map[string]int, len(rates))
	for s, rate := range rates {
		slots, _ := RateSlots(rate, b.Extra[s])
		switch {
		case owns == nil:
			total[s] = min(slots, b.up.Slots(now, s, 0, 1))
		case owns(s):
			total[s] = slots
		default:
			total[s] = 0
		}
	}
	b.owner.setServers(total)
	b.owner.Until = 0
	if owns == nil {
		b.owner.Until = b.up.validUntil
	}
	b.prune(now)
	r := b.own.Report(now, b.owner.Name, b.demand(now))
	if g, ok := b.owner.Poll(now, r); ok {
		b.own.accept(now, g)
	}
}

// Servers returns the limits of the servers as of the last Update, in requests a second.
func (b *Branch) Servers() map[string]float64 { return b.rates }

// prune forgets the starts that take no slot any more.
func (b *Branch) prune(now clock.Time) {
	for s := range b.starts {
		if b.taken(now, s) == 0 {
			delete(b.starts, s)
		}
	}
}

// demand returns a report with what this VM itself uses and wants.
func (b *Branch) demand(now clock.Time) Report {
	r := Report{Running: make(map[string]int)}
	for s := range b.starts {
		r.Running[s] = b.taken(now, s)
		r.Active[work.Batch] += r.Running[s]
	}
	r.Waiting[work.Batch] = b.refusedLately(now)
	return r
}

// taken returns the number of slots of a server that this VM's requests take.
func (b *Branch) taken(now clock.Time, server string) int {
	rate, ok := b.rates[server]
	if !ok {
		return 0
	}
	_, hold := RateSlots(rate, b.Extra[server])
	b.starts[server] = slices.DeleteFunc(b.starts[server], func(at clock.Time) bool { return now.Sub(at) >= hold })
	return len(b.starts[server])
}

// Report returns the report to the VM that is followed, for this VM and those that follow it.
func (b *Branch) Report(now clock.Time) Report {
	sum := b.owner.committed()
	r := b.up.Report(now, b.up.owner, sum)
	r.Slots = sum.Slots
	return r
}

// Accept applies the answer to the last report.
func (b *Branch) Accept(now clock.Time, g Grant) { b.up.accept(now, g) }

// Answer records the report of a VM that follows this one and returns its part.
func (b *Branch) Answer(now clock.Time, r Report) (Grant, bool) { return b.owner.Poll(now, r) }

// Free reports whether this VM may send a request to a server that has a limit.
func (b *Branch) Free(now clock.Time, server string) bool {
	return b.taken(now, server) < b.own.Slots(now, server, 0, 1)
}

// MayTake reports whether it is the turn of a workspace, if the pool has no other servers than those with limits.
func (b *Branch) MayTake(now clock.Time, workspace string) bool {
	return b.turns.mayTake(now, workspace)
}

// Start records that a request is sent to a server.
func (b *Branch) Start(now clock.Time, server, workspace string) {
	b.starts[server] = append(b.starts[server], now)
	b.turns.took(now, workspace)
}

// Refuse records that no server may take a request of a workspace because of the limits. It returns the time after which this VM
// expects to serve it.
func (b *Branch) Refuse(now clock.Time, workspace string) clock.Span {
	b.refuse(now)
	retry := b.retryAfter(now)
	b.turns.refused(now, workspace, retry)
	return retry
}

const (
	// maxRetryAfter bounds the time after which a refused caller may return: limits change meanwhile.
	maxRetryAfter = 10 * clock.Second
	// exchangeSpan is about the time in which a VM without a slot is granted one.
	exchangeSpan = clock.Second
)

// retryAfter returns the time until this VM has sent the requests that it refused lately, at the rate of its own part. Without one
// it counts with the rate of all VMs together.
func (b *Branch) retryAfter(now clock.Time) clock.Span {
	own, all := 0.0, 0.0
	for s, rate := range b.rates {
		all += max(rate, minRate)
		_, hold := RateSlots(rate, b.Extra[s])
		own += float64(b.own.Slots(now, s, 0, 1)) / float64(hold) * float64(clock.Second)
	}
	wait := exchangeSpan
	if own > 0 {
		wait, all = 0, own
	}
	if all > 0 {
		wait += clock.Span(float64(b.refusedLately(now)) / all * float64(clock.Second))
	}
	return min(wait, maxRetryAfter)
}

// refusals counts the requests that were refused lately for lack of a slot.
type refusals struct{ times []clock.Time }

const (
	// demandSpan is the time for which a refused request counts as demand.
	demandSpan = clock.Second
	// maxRefusals is the number of refused requests that are counted.
	maxRefusals = 1000
)

func (r *refusals) refuse(now clock.Time) {
	if r.refusedLately(now) < maxRefusals {
		r.times = append(r.times, now)
	}
}

func (r *refusals) refusedLately(now clock.Time) int {
	i, _ := slices.BinarySearch(r.times, now.Add(1-demandSpan))
	r.times = r.times[i:]
	return len(r.times)
}

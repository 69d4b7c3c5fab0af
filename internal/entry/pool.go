package entry

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"shallotrun/core/clock"
	"shallotrun/core/document"
	"shallotrun/core/place"
	"shallotrun/core/queue"
	"shallotrun/core/retry"
	"shallotrun/core/work"
)

// pool is the queue, the slots and the placement of one pool of backend servers. Its methods are safe for concurrent use
// unless they require the lock.
type pool struct {
	d    *Daemon
	name string

	mu         sync.Mutex
	slots      int // configured slots of each server, 0 for no limit
	ranks      document.Ranks
	fairPolicy queue.Fair // policy in force
	queue      queue.Queue
	placer     place.Placer
	budget     retry.Budget
	hedge      retry.Hedge
	tickets    map[string]*ticket
	unplaced   []*ticket // popped, but no server with a free slot was suitable yet
	inFlight   map[string]int
	loads      map[string]loadReport
	firstSeen  map[string]clock.Time // engines by name and address: when first seen, 0 after the first fetch of the load report
	cands      []place.Candidate     // set by refreshCandidates; the slice is reused
}

// ticket is a request that waits for a server or runs at one.
type ticket struct {
	item      queue.Item
	placement place.Request
	grant     chan grant // buffered, gets one value
	popped    bool       // taken from the queue, which needs a call of Done at the end
	server    string     // server whose slot is held, "" for none
}

// loadReport is a load report with the time of its arrival.
type loadReport struct {
	work.Load
	receivedAt clock.Time
}

// grant is the result of a ticket: a server or a refusal.
type grant struct {
	server  work.VM
	refusal *work.Refusal
}

// callerCheckInterval is the interval at which a request checks whether its caller is still connected, while it is queued and
// while events of its answer arrive.
const callerCheckInterval = 100 * clock.Millisecond

// maxUnplaced is the number of popped requests without a suitable server at which popping stops.
const maxUnplaced = 16

// pool returns the pool with a name, creates it on first use, and updates its slots and ranks.
func (d *Daemon) pool(name string, slots int) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		p = &pool{
			d: d, name: name,
			queue:     queue.Queue{Limit: d.MaxQueue},
			placer:    place.Placer{Domain: d.Domain, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
			tickets:   make(map[string]*ticket),
			inFlight:  make(map[string]int),
			firstSeen: make(map[string]clock.Time),
			loads:     make(map[string]loadReport),
		}
		d.pools[name] = p
		d.fetchFirstLoads(p)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = slots
	if t := d.table(); t != nil {
		p.ranks = t.Document.Ranks
	}
	return p
}

// enqueue queues a request. The result is sent on the ticket's channel.
func (p *pool) enqueue(item queue.Item, placement place.Request) (*ticket, *work.Refusal) {
	now := p.d.Clock.Now()
	t := &ticket{item: item, placement: placement, grant: make(chan grant, 1)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, live := p.refreshCandidates(); live == 0 {
		r := refuse(work.CodeNoServer, 503, "no backend server of pool "+p.name+" is live")
		r.Retry = clock.Second
		return nil, r
	}
	if r := p.queue.Push(now, item); r != nil {
		return nil, r
	}
	p.tickets[item.ID] = t
	p.grantSlots(now)
	return t, nil
}

// wait waits for a ticket's grant. It withdraws the ticket if the caller disconnects, which is checked every
// callerCheckInterval.
func (p *pool) wait(t *ticket, callerGone func() bool) (g grant, gone bool) {
	select {
	case g = <-t.grant:
		return g, false
	default:
	}
	timer := time.NewTicker(callerCheckInterval.Std())
	defer timer.Stop()
	for {
		select {
		case g = <-t.grant:
			return g, false
		case <-timer.C:
			if callerGone() {
				p.withdraw(t)
				return grant{}, true
			}
		}
	}
}

// withdraw removes a ticket from the queue. It releases the slot if one was granted in the meantime.
func (p *pool) withdraw(t *ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tickets[t.item.ID] == t {
		delete(p.tickets, t.item.ID)
		p.queue.Remove(t.item.ID)
		p.unplaced = slices.DeleteFunc(p.unplaced, func(x *ticket) bool { return x == t })
	}
	p.endTicket(t, 0)
}

// release releases the slot of a ticket that used a number of tokens.
func (p *pool) release(t *ticket, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endTicket(t, used)
	p.grantSlots(p.d.Clock.Now())
}

// endTicket reports the end of a ticket to the queue and frees its slot. Further calls have no effect. The lock must be held.
func (p *pool) endTicket(t *ticket, used int) {
	if t.popped {
		t.popped = false
		p.queue.Done(p.d.Clock.Now(), t.item, used)
	}
	if t.server == "" {
		return
	}
	if p.inFlight[t.server]--; p.inFlight[t.server] <= 0 {
		delete(p.inFlight, t.server)
	}
	t.server = ""
}

// reportResult passes the result of an attempt to the placement.
func (p *pool) reportResult(r work.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placer.Report(p.d.Clock.Now(), r)
}

// recordAttempt adds a first attempt to the retry budget.
func (p *pool) recordAttempt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Attempt(p.d.Clock.Now())
}

// spendRetry takes one retry or hedge from the retry budget, and reports whether the budget allowed it.
func (p *pool) spendRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Retry(p.d.Clock.Now())
}

// refundRetry returns a retry or hedge that was not sent to the retry budget.
func (p *pool) refundRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Refund(p.d.Clock.Now())
}

// recordLoad records a load report.
func (p *pool) recordLoad(server string, l work.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[server] = loadReport{l, p.d.Clock.Now()}
	p.grantSlots(p.d.Clock.Now())
}

// tick grants free slots and refuses requests whose deadline has passed. It is called periodically, because changes of the
// server list and deadlines cause no event.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.d.Clock.Now()
	p.grantSlots(now)
	for name, l := range p.loads {
		if now.Sub(l.receivedAt) > loadExpiry {
			delete(p.loads, name)
		}
	}
}

// loadExpiry is the age at which a load report is removed. It gets that old if the server is gone or this VM may not use it.
const loadExpiry = 10 * clock.Minute

// counts returns the number of waiting requests of each rank, of running requests and of live servers.
func (p *pool) counts() (waiting [work.Ranks]int, running, servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range waiting {
		waiting[r] = p.queue.Len(work.Rank(r))
	}
	for _, t := range p.unplaced {
		waiting[t.item.Rank]++
	}
	for _, n := range p.inFlight {
		running += n
	}
	_, servers = p.refreshCandidates()
	return waiting, running, servers
}

// grantSlots grants servers while there are waiting requests and free slots. The lock must be held.
func (p *pool) grantSlots(now clock.Time) {
	if len(p.tickets) == 0 {
		return
	}
	for _, it := range p.queue.Expire(now) {
		p.resolve(it.ID, grant{refusal: p.deadlineRefusal()})
	}
	free, _ := p.refreshCandidates()
	p.updatePolicy(free)
	for _, t := range slices.Clone(p.unplaced) {
		switch {
		case t.item.Deadline != 0 && !now.Before(t.item.Deadline):
			p.resolve(t.item.ID, grant{refusal: p.deadlineRefusal()})
		case free > 0 && p.tryPlace(now, t):
			free--
		}
	}
	for free > 0 && len(p.unplaced) < maxUnplaced {
		it, ok := p.queue.PopFree(now, free)
		if !ok {
			return
		}
		t := p.tickets[it.ID]
		if t == nil { // cannot happen: a ticket is removed from the queue and from tickets together
			p.queue.Done(now, it, 0)
			continue
		}
		t.popped = true
		if p.tryPlace(now, t) {
			free--
		} else {
			p.unplaced = append(p.unplaced, t)
		}
	}
}

// tryPlace grants a server to a ticket if one is suitable, and reports whether it did. The lock must be held.
func (p *pool) tryPlace(now clock.Time, t *ticket) bool {
	name, ok := p.placer.Pick(now, t.placement, p.cands)
	if !ok && len(t.placement.Exclude) >= len(p.cands) {
		// Every server failed this request, so after the backoff any of them may be tried again.
		placement := t.placement
		placement.Exclude = nil
		name, ok = p.placer.Pick(now, placement, p.cands)
	}
	if !ok {
		return false
	}
	for i := range p.cands {
		if p.cands[i].Name == name {
			p.cands[i].OwnInFlight++
		}
	}
	p.inFlight[name]++
	t.server = name
	p.resolve(t.item.ID, grant{server: p.serverByName(name)})
	return true
}

// resolve sends the result of a ticket. The lock must be held.
func (p *pool) resolve(id string, g grant) {
	t := p.tickets[id]
	if t == nil {
		return
	}
	delete(p.tickets, id)
	p.unplaced = slices.DeleteFunc(p.unplaced, func(x *ticket) bool { return x == t })
	if g.refusal != nil {
		p.endTicket(t, 0)
	}
	t.grant <- g
}

// maxReserve and reserveDivisor bound the free slots that are reserved for more urgent work. The reserve has to cover the
// requests that may arrive together, but in a small pool a fixed number would exclude batch work.
const (
	maxReserve     = 8
	reserveDivisor = 8
)

// updatePolicy sets the policy of the queue from the document in force and the size of the pool. The lock must be held.
func (p *pool) updatePolicy(free int) {
	total := free
	for _, n := range p.inFlight {
		total += n
	}
	f := queue.Fair{Normal: p.ranks.Normal, Batch: p.ranks.Batch, Reserve: min(total/reserveDivisor, maxReserve)}
	if f != p.fairPolicy || p.queue.Policy == nil {
		p.fairPolicy, p.queue.Policy = f, f
	}
}

// refreshCandidates sets the candidates for placement, and returns the number of free slots and of live servers. The lock
// must be held.
func (p *pool) refreshCandidates() (free, live int) {
	now := p.d.Clock.Now()
	p.cands = p.cands[:0]
	for _, v := range p.d.Servers.Servers(p.name) {
		l, known := p.loads[v.Name]
		if v.State == work.StateLeaving || l.Leaving {
			continue
		}
		if p.awaitsFirstLoad(now, v) {
			live++
			continue
		}
		c := place.Candidate{Name: v.Name, Domain: v.Domain, Slots: p.slotsAt(v.Name), OwnInFlight: p.inFlight[v.Name]}
		if known && now.Sub(l.receivedAt) < maxLoadAge {
			c.Load, c.HasLoad = l.Load, true
		}
		live++
		switch {
		case c.Slots <= 0 && p.slots > 0: // this VM has no slots of this server now
			continue
		case c.Slots <= 0:
			free = math.MaxInt32
		default:
			free += max(c.Slots-c.OwnInFlight, 0)
		}
		p.cands = append(p.cands, c)
	}
	return min(free, math.MaxInt32), live
}

// firstLoadTimeout is the maximum time for which an engine gets no work because its first load report was not fetched yet.
const firstLoadTimeout = clock.Second

// awaitsFirstLoad reports whether an engine gets no work yet because its first load report was not fetched. A VM that has just
// started has only the list of servers in the platform's store, which lags: it would send work to an engine that has been leaving
// for longer than 3 s, after which a leaving server must get no new work. The lock must be held.
func (p *pool) awaitsFirstLoad(now clock.Time, v work.VM) bool {
	if v.Kind != work.KindEngine {
		return false
	}
	key := v.Name + " " + v.Addr
	t, ok := p.firstSeen[key]
	if !ok {
		if len(p.firstSeen) > maxFirstSeen {
			clear(p.firstSeen) // mostly replaced engines; the load of the present ones is fetched again
		}
		t = now
		p.firstSeen[key] = t
	}
	return t != 0 && now.Sub(t) < firstLoadTimeout
}

// maxFirstSeen is the maximum size of firstSeen.
const maxFirstSeen = 8192

// endFirstLoad records that the load report of an engine was fetched, or that fetching it failed.
func (p *pool) endFirstLoad(v work.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstSeen[v.Name+" "+v.Addr] = 0
	p.grantSlots(p.d.Clock.Now())
}

// slotsAt returns the maximum number of requests that this VM may have in flight at a server.
func (p *pool) slotsAt(server string) int {
	if p.d.ServerSlots == nil {
		return p.slots
	}
	return p.d.ServerSlots(p.name, server, p.slots)
}

// usable reports whether this VM may use a server at all.
func (p *pool) usable(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots == 0 || p.slotsAt(server) > 0
}

// serverByName returns a server of the pool. If it was removed, only the name is set.
func (p *pool) serverByName(name string) work.VM {
	for _, v := range p.d.Servers.Servers(p.name) {
		if v.Name == name {
			return v
		}
	}
	return work.VM{Name: name}
}

// deadlineRefusal returns the refusal of a request whose deadline passed in the queue.
func (p *pool) deadlineRefusal() *work.Refusal {
	return refuse(work.CodeDeadline, 504, "the deadline passed in the queue")
}

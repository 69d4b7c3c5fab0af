package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"shallotrun/core/bill"
	"shallotrun/core/clock"
	"shallotrun/core/member"
	"shallotrun/core/work"
	"shallotrun/io/peer"
	"shallotrun/io/platform"
)

const (
	// copyTimeout is the timeout of a call to the VM that holds the replica of a bill. The end of an answer waits at most
	// a quarter longer than this for the replica.
	copyTimeout = 200 * time.Millisecond
	// maxWrites bounds the concurrent calls to the platform's store about bills, because the store limits the rate of calls.
	maxWrites = 4
	kindBills = "bills"
	// Bounds of the backoff after a call that the platform's store did not answer.
	minBackoff = 250 * clock.Millisecond
	maxBackoff = 4 * clock.Second
)

// bills executes the commands of a bill.Recorder. Its times are wall clock, except notBefore.
type bills struct {
	f           *Fleet
	mu          sync.Mutex // guards the fields below
	recorder    bill.Recorder
	copyWaiters map[string]chan bill.Finish // answers that wait for the replica, by request
	takeWaiters map[string][]chan struct{}
	inFlight    map[string]bool // objects with a call in flight
	slots       chan struct{}
	uncopied    prometheus.Counter

	notBefore clock.Time // monotonic; no call earlier, because the store did not answer the last one
	backoff   clock.Span
}

func (b *bills) start(f *Fleet) {
	b.f, b.slots = f, make(chan struct{}, maxWrites)
	b.copyWaiters, b.takeWaiters, b.inFlight = map[string]chan bill.Finish{}, map[string][]chan struct{}{}, map[string]bool{}
	b.uncopied = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "shallot_bills_uncopied", Help: "Answers that ended before another VM had a copy of the bill.",
	})
	b.recorder = bill.Recorder{
		Self: f.Name, Inc: f.inc, MaxBills: maxBatchBills, MaxPending: maxPendingBills, PickHolder: f.pickHolder, Lost: f.isLost,
	}
}

func (f *Fleet) isLost(name string, inc uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members.Lost(f.Clock.Now(), name, inc)
}

// pickHolder selects the VM that holds the replicas of bills: a reachable VM of another domain, otherwise one of the own
// domain. It returns the zero Holder if no other VM is reachable. The selection is stable, so that few batches are open at a
// time.
func (f *Fleet) pickHolder() bill.Holder {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	incs := map[string]uint64{}
	var far, near []string
	for _, d := range f.members.Domains() {
		for _, m := range f.members.Members(now, d) {
			if m.State != member.Serving || m.Inc == 0 || m.HeartbeatReceived == 0 || !f.transport.Reachable(m.Name) {
				continue
			}
			if incs[m.Name] = m.Inc; d == f.Domain {
				near = append(near, m.Name)
			} else if f.members.WantsConnection(m.Name) {
				far = append(far, m.Name)
			}
		}
	}
	if len(far) == 0 {
		far = near
	}
	for _, n := range member.Rank(f.Name, far, 1) {
		return bill.Holder{Name: n, Inc: incs[n], StartedAt: f.Clock.Wall()}
	}
	return bill.Holder{}
}

// SelectHolder selects the VM that holds the replica of the bill of a request that starts now, or "" if no other VM is reachable.
func (f *Fleet) SelectHolder(string) string { return f.pickHolder().String() }

// Full reports whether new work has to be refused because too many bills are pending.
func (f *Fleet) Full() bool {
	f.bills.mu.Lock()
	defer f.bills.mu.Unlock()
	return f.bills.recorder.Full()
}

// Save records a bill. It returns after the holder acknowledged its replica, and after 250 ms at the latest: a bill without a
// replica is counted and is no error. It returns bill.ErrTakenOver if another entry VM took over the request.
func (f *Fleet) Save(ctx context.Context, w work.Bill, holder string) error {
	h, err := bill.ParseHolder(holder)
	if err != nil {
		f.Log.Warn().Err(err).Str("request", w.Request).Msg("bills: invalid holder; the bill has no replica")
	}
	b := &f.bills
	done := make(chan bill.Finish, 1)
	b.do(func(now clock.Time) []bill.Command {
		b.copyWaiters[w.Request] = done
		return b.recorder.Record(now, w, h)
	})
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.copyWaiters, w.Request)
	}()
	t := time.NewTimer(copyTimeout + copyTimeout/4)
	defer t.Stop()
	select {
	case d := <-done:
		if d.Uncopied && d.Err == nil {
			b.uncopied.Inc()
		}
		return d.Err
	case <-t.C:
	case <-ctx.Done():
	}
	b.uncopied.Inc()
	return nil
}

// TakeOver asks the holder of a request's bill to mark the request as taken over by this VM, which then bills it. It returns
// bill.ErrTakeDenied if the first VM keeps the bill, and the error of ctx if the holder did not answer in time: Save then
// decides whether the bill is recorded.
func (f *Fleet) TakeOver(ctx context.Context, request, holder string) error {
	h, err := bill.ParseHolder(holder)
	if err != nil {
		return bill.ErrTakeDenied
	}
	b := &f.bills
	answered := make(chan struct{}, 1)
	b.do(func(now clock.Time) []bill.Command {
		b.takeWaiters[request] = append(b.takeWaiters[request], answered)
		return b.recorder.TakeOver(now, request, h)
	})
	for {
		b.mu.Lock()
		pending := b.recorder.TakePending(request)
		denied := b.recorder.TakeDenied(request)
		if !pending {
			delete(b.takeWaiters, request)
		}
		b.mu.Unlock()
		switch {
		case pending:
		case denied:
			return bill.ErrTakeDenied
		default:
			return nil
		}
		select {
		case <-answered:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (b *bills) handleCopy(from bill.Holder, c bill.Copy) bill.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recorder.HandleCopy(b.f.Clock.Wall(), from, c)
}

func (b *bills) handleTake(t bill.Take) bill.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recorder.HandleTake(b.f.Clock.Wall(), t)
}

func (b *bills) handleStored(from bill.Holder, s bill.Stored) bill.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recorder.HandleStored(from, s)
}

func (b *bills) tick() {
	age := b.f.MaxBatchAge
	if age == 0 {
		age = sealAge(len(b.f.Servers.Entries()))
	}
	b.do(func(now clock.Time) []bill.Command {
		b.recorder.MaxAge = age
		return b.recorder.Tick(now)
	})
}

// sealAge returns the age at which a batch is sealed in a fleet of n VMs. From 34 to 340 VMs the platform's store gets about
// 34 batches a second.
func sealAge(n int) clock.Span {
	return min(max(clock.Span(n)*clock.Second/34, clock.Second), 10*clock.Second)
}

// do runs a step of the recorder under the lock and executes the resulting commands.
func (b *bills) do(step func(now clock.Time) []bill.Command) {
	b.mu.Lock()
	cs := step(b.f.Clock.Wall())
	for _, c := range cs {
		if d, ok := c.(bill.Finish); ok {
			if ch := b.copyWaiters[d.Request]; ch != nil {
				delete(b.copyWaiters, d.Request)
				ch <- d
			}
		}
	}
	b.mu.Unlock()
	for _, c := range cs {
		switch c := c.(type) {
		case bill.SendCopy:
			go b.sendCopy(c)
		case bill.SendTake:
			go b.sendTake(c)
		case bill.SendStored:
			go func() {
				var r bill.Reply
				_ = b.ask(c.To, peer.KindStored, c.Stored, &r) // if this is lost, the holder finds the object in the store
			}()
		case bill.Create:
			go b.create(c)
		case bill.Read:
			go b.read(c.Name)
		}
	}
}

func (b *bills) ask(to, kind string, body any, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if !b.f.connect(ctx, to) {
		return peer.ErrNotConnected
	}
	return b.f.transport.Request(ctx, to, kind, body, reply)
}

func (b *bills) sendCopy(c bill.SendCopy) {
	var r bill.Reply
	err := b.ask(c.To, peer.KindCopy, c.Copy, &r)
	b.do(func(now clock.Time) []bill.Command {
		if err != nil {
			return b.recorder.CopyUnanswered(now, c.Copy)
		}
		return b.recorder.CopyAnswered(now, c.Copy, c.To, r.Answer)
	})
}

func (b *bills) sendTake(c bill.SendTake) {
	var r bill.Reply
	if err := b.ask(c.To, peer.KindTakeover, c.Take, &r); err != nil {
		return
	}
	b.do(func(now clock.Time) []bill.Command {
		cs := b.recorder.TakeAnswered(now, c.Take.Request, r.Answer)
		for _, ch := range b.takeWaiters[c.Take.Request] {
			ch <- struct{}{}
		}
		delete(b.takeWaiters, c.Take.Request)
		return cs
	})
}

// acquire waits for a slot for a call to the platform's store about an object. It returns false if a call for this object is
// in flight already, or during the backoff.
func (b *bills) acquire(name string) bool {
	b.mu.Lock()
	if b.inFlight[name] || b.f.Clock.Now() < b.notBefore {
		b.mu.Unlock()
		return false // the recorder repeats the command
	}
	if b.backoff > 0 {
		b.notBefore = b.f.Clock.Now().Add(b.backoff) // a single call probes whether the store answers again
	}
	b.inFlight[name] = true
	b.mu.Unlock()
	b.slots <- struct{}{}
	return true
}

// release frees the slot of a call. While the platform's store does not answer, a VM tries one batch at a time with jittered
// exponential backoff, so that 340 VMs don't overload a store that recovers by sending all their batches at once.
func (b *bills) release(name string, answered bool) {
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, name)
	if answered {
		b.backoff, b.notBefore = 0, 0
		return
	}
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	b.notBefore = b.f.Clock.Now().Add(b.backoff/2 + rand.N(b.backoff))
}

func (b *bills) create(c bill.Create) {
	if !b.acquire(c.Name) {
		return
	}
	bs := c.Bills
	if bs == nil {
		bs = []work.Bill{} // an empty object prevents other VMs from creating it with bills
	}
	outcome := bill.NoAnswer
	if value, err := json.Marshal(bs); err == nil {
		outcome = b.put(c.Name, value)
	}
	b.release(c.Name, outcome != bill.NoAnswer)
	b.do(func(now clock.Time) []bill.Command { return b.recorder.CreateAnswered(now, c.Name, outcome) })
}

func (b *bills) put(name string, value []byte) bill.Outcome {
	_, err := b.f.Objects.Create(context.Background(), kindBills, name, value)
	var conflict *platform.Conflict
	switch {
	case err == nil:
		return bill.Created
	case errors.As(err, &conflict):
		return bill.Exists
	}
	b.f.Log.Debug().Err(err).Str("batch", name).Msg("bills: batch not written; retrying")
	return bill.NoAnswer
}

func (b *bills) read(name string) {
	if !b.acquire(name) {
		return
	}
	o, err := b.f.Objects.Get(context.Background(), kindBills, name)
	b.release(name, err == nil || errors.Is(err, platform.ErrNotFound))
	var bs []work.Bill
	if err == nil {
		err = json.Unmarshal(o.Value, &bs)
	}
	if err != nil {
		b.f.Log.Debug().Err(err).Str("batch", name).Msg("bills: batch not read; retrying")
		return
	}
	requests := make([]string, 0, len(bs))
	for _, x := range bs {
		requests = append(requests, x.Request)
	}
	b.do(func(now clock.Time) []bill.Command {
		b.recorder.ReadAnswered(now, name, requests)
		return nil
	})
}

// flushBills seals the batches and waits up to limit until every bill is in the platform's store or has a replica.
func (f *Fleet) flushBills(limit time.Duration) {
	b := &f.bills
	b.do(func(now clock.Time) []bill.Command {
		b.recorder.Stop(now)
		return nil
	})
	// A replica is sufficient only after the time given to the store alone, because the other VMs may be stopping too.
	storeOnlyUntil := time.Now().Add(flushStoreTimeout)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(tickInterval) {
		b.mu.Lock()
		ok := b.recorder.AllStored() || time.Now().After(storeOnlyUntil) && b.recorder.AllReplicated()
		b.mu.Unlock()
		if ok {
			return
		}
	}
	f.Log.Error().Msg("bills: some bills are neither in the platform's store nor replicated to another VM")
}

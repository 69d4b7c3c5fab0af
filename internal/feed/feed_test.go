package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/core/load"
	"shallotrun/io/peer"
)

// scriptedStore is a Store whose answers the test sets.
type scriptedStore struct {
	mu      sync.Mutex
	lists   map[Kind]Batch
	watches chan watchResult // one for each watch of the configuration; watches of the other kinds wait until ctx ends
	orders  chan canary.Order
	listed  chan Kind
}

type watchResult struct {
	batch Batch
	err   error
}

func (s *scriptedStore) List(_ context.Context, k Kind, _ Consistency) (Batch, error) {
	if s.listed != nil {
		s.listed <- k
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[k], nil
}

// restore replaces the lists by those of a store that came back from an older copy.
func (s *scriptedStore) restore(lists map[Kind]Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = lists
}

func (s *scriptedStore) Watch(ctx context.Context, k Kind, _ uint64, _ clock.Span) (Batch, error) {
	if k == Configs {
		select {
		case a := <-s.watches:
			return a.batch, a.err
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return Batch{}, ctx.Err()
}

func (s *scriptedStore) SetOrder(_ context.Context, o canary.Order) error {
	select {
	case s.orders <- o:
	default:
	}
	return ErrConflict
}

func (s *scriptedStore) Join(context.Context, Member) error  { return nil }
func (s *scriptedStore) Leave(context.Context, string) error { return nil }
func (s *scriptedStore) Secret(_ context.Context, p []byte, _ Consistency) ([]byte, error) {
	return p, nil
}

func config(version uint64) Batch {
	return Batch{Rev: version, Objects: []Object{{Name: "main", Config: &catalog.Config{Version: version}}}}
}

func run(t *testing.T, s *scriptedStore) (*Feed, clock.Clock) {
	c := clock.NewManual(100_000)
	f := &Feed{Store: s, Clock: c, EvacuateWithin: 5000}
	f.Freshness.MaxAge = 5000
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitFor(t, f.Synchronised)
	return f, c
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the condition never holds")
	}
}

// Guards against a VM that refuses all requests with an API key while the operator changes the configuration every second. No
// watch returns without a change then, so a watch with changes has to prove freshness as well.
func TestFreshDuringChanges(t *testing.T) {
	s := &scriptedStore{lists: map[Kind]Batch{Configs: config(1)}, watches: make(chan watchResult)}
	f, c := run(t, s)
	for v := uint64(2); v < 12; v++ {
		c.Advance(1000)
		s.watches <- watchResult{batch: config(v)}
		waitFor(t, func() bool { return f.Config.Table().Config.Version == v })
		assert.Check(t, f.Fresh(), "version %d", v)
	}
}

// Guards against a VM that still serves API keys when the store has not answered for MaxAge.
func TestFreshnessExpires(t *testing.T) {
	s := &scriptedStore{lists: map[Kind]Batch{Configs: config(1)}, watches: make(chan watchResult)}
	f, c := run(t, s)
	s.watches <- watchResult{err: errors.New("cut off")}
	assert.Check(t, f.Fresh())
	c.Advance(5000)
	assert.Check(t, !f.Fresh())
	assert.Check(t, f.Synchronised(), "the last known objects stay in use for requests without a key")
}

// Guards against missed changes when the store drops its history: the kind has to be listed again.
func TestHistoryGoneIsListedAgain(t *testing.T) {
	s := &scriptedStore{lists: map[Kind]Batch{Configs: config(3)}, watches: make(chan watchResult), listed: make(chan Kind, 100)}
	f, _ := run(t, s)
	for range kinds {
		<-s.listed
	}
	s.watches <- watchResult{err: ErrHistoryDropped}
	assert.Equal(t, <-s.listed, Configs)
	assert.Equal(t, f.Config.Table().Config.Version, uint64(3))
}

// Guards against a VM that carries out an order before the store shows it as running, and against a write without the
// revision that was read, which could not be conditional.
func TestOrderStartIsWritten(t *testing.T) {
	s := &scriptedStore{watches: make(chan watchResult), orders: make(chan canary.Order, 1), lists: map[Kind]Batch{
		Configs: config(1),
		Orders:  {Rev: 9, Objects: []Object{{Name: "s", Order: &canary.Order{Service: "s", Target: "v2", Duration: 20000, Rev: 8}}}},
	}}
	run(t, s)
	o := <-s.orders
	assert.Equal(t, o.State, canary.Running)
	assert.Equal(t, o.Rev, uint64(8))
	assert.Check(t, o.Started != 0)
}

// Guards against a VM that finishes an order as soon as the store recovers, before another VM can write its verdict against the
// new version.
func TestOrderIsFinishedOnlyAfterSettlePeriod(t *testing.T) {
	s := &scriptedStore{watches: make(chan watchResult), orders: make(chan canary.Order, 1), lists: map[Kind]Batch{
		Configs: config(1),
		Orders:  {Rev: 9, Objects: []Object{{Name: "s", Order: &canary.Order{Service: "s", Target: "v2", Duration: 10000, State: canary.Running}}}},
	}}
	f, c := run(t, s)
	for range 20 {
		f.Orders.Record(0, "s", canary.Result{Route: "r", Version: "v2", First: 10})
	}
	f.RecordOutage()
	c.Advance(9500)
	f.RecordOutage()
	time.Sleep(600 * time.Millisecond) // long enough for a check of the order
	assert.Equal(t, len(s.orders), 0)
	c.Advance(settlePeriod)
	assert.Equal(t, (<-s.orders).State, canary.Done)
}

// Guards against requests to a version without an order, and to the wrong version after an order is done or rolled back.
func TestChoose(t *testing.T) {
	old, target := backend.Server{ID: "a", Version: "v1", Made: 3}, backend.Server{ID: "b", Version: "v2", Made: 9}
	all := []backend.Server{target, old}
	for _, c := range []struct {
		name  string
		state canary.State
		order bool
		want  string
	}{
		{"no order", canary.New, false, "a"},
		{"running, first half", canary.Running, true, "a"},
		{"done", canary.Done, true, "b"},
		{"rolled back", canary.RolledBack, true, "a"},
	} {
		b := &Rollouts{}
		if c.order {
			b.put(0, 0, canary.Order{Service: "s", Target: "v2", Duration: 20000, State: c.state})
		}
		for _, session := range []string{"", "x", "y"} {
			got := b.Choose(1000, "s", session, all)
			assert.Equal(t, len(got), 1, c.name)
			assert.Equal(t, got[0].ID, c.want, c.name)
		}
	}
}

// synchronised returns a Feed that has listed every kind and has configuration c.
func synchronised(t *testing.T, c *catalog.Config) *Feed {
	f := &Feed{EvacuateWithin: 5000, Clock: clock.NewManual(9000), Store: &scriptedStore{lists: map[Kind]Batch{
		Configs: {Rev: c.Version, Objects: []Object{{Name: "main", Config: c}}},
	}}}
	f.Freshness.MaxAge = 5000
	for k := range kinds {
		assert.NilError(t, f.Relist(t.Context(), k))
	}
	return f
}

// Guards against a configuration of any size that reaches another VM incomplete or uncompressed, against freshness that is proved
// without it, and against a configuration that is sent again to a VM that has it.
func TestConfigurationIsPassedOn(t *testing.T) {
	for _, routes := range []int{10, 251, 5000} {
		c := &catalog.Config{Version: 4}
		for i := range routes {
			c.Routes = append(c.Routes, catalog.Route{
				Name: fmt.Sprint("route-", i), Host: "x.example", Prefix: fmt.Sprint("/route-", i, "/"), Kind: catalog.Streaming, Timeout: 25000,
				Objective: 2000, Attempts: 3, Models: []string{"small", "large"}, Splits: []catalog.Split{{Service: "s", Weight: 1}},
			})
		}
		a, b := synchronised(t, c), synchronised(t, &catalog.Config{Version: 3})
		d, err := a.Reply("b", b.Query("a"))
		assert.NilError(t, err)
		assert.NilError(t, b.Apply(8900, "a", d))
		got := b.Config.Table()
		assert.Equal(t, got.Config.Version, uint64(4))
		assert.DeepEqual(t, got.Config.Routes, c.Routes)
		assert.Check(t, b.Fresh())
		assert.Check(t, len(d.PackedConfig) < 1000+40*routes, "%d routes are encoded in %d bytes", routes, len(d.PackedConfig))
		d, err = a.Reply("b", b.Query("a"))
		assert.NilError(t, err)
		assert.Equal(t, len(d.PackedConfig), 0, "the configuration is sent to a VM that has it")
	}
}

// Guards against a VM that has to list kinds from the store at its start although another VM is synchronised, and against one
// that applies the reply of a VM that is not synchronised itself.
func TestFirstReply(t *testing.T) {
	a := synchronised(t, &catalog.Config{Version: 4})
	a.applyChanges(Servers, Batch{Rev: 7, Objects: []Object{{Name: "x", Server: &backend.Server{ID: "x", Service: "s"}}}})
	a.applyChanges(Members, Batch{Rev: 8, Objects: []Object{{Name: "m", Member: &Member{Name: "m"}}}})
	a.applyChanges(Orders, Batch{Rev: 9, Objects: []Object{{Name: "s", Order: &canary.Order{Service: "s", Target: "v2", CreateRevision: 9}}}})
	b := &Feed{Clock: clock.NewManual(9000)}
	d, err := b.Reply("a", a.Query("b"))
	assert.NilError(t, err)
	assert.Check(t, errors.Is(a.Apply(8900, "b", d), ErrUnready))
	d, err = a.Reply("b", b.Query("a"))
	assert.NilError(t, err)
	assert.NilError(t, b.Apply(8900, "a", d))
	assert.Check(t, b.Synchronised())
	assert.Check(t, b.Fresh())
	assert.Equal(t, len(b.Servers(9000, "s")), 1)
	assert.Equal(t, len(b.Members()), 1)
	assert.Equal(t, b.positions(), a.positions())
}

// Guards against a reply whose configuration cannot be decoded: it must not prove that the old configuration is fresh, and its
// changes of servers must still be applied.
func TestUnreadableConfiguration(t *testing.T) {
	a, b := synchronised(t, &catalog.Config{Version: 4}), synchronised(t, &catalog.Config{Version: 3})
	before := b.Freshness.Age(9000)
	a.applyChanges(Servers, Batch{Rev: 7, Objects: []Object{{Name: "x", Server: &backend.Server{ID: "x", Service: "s"}}}})
	d, err := a.Reply("b", b.Query("a"))
	assert.NilError(t, err)
	for _, body := range []Packed{{1, 2, 3}, d.PackedConfig[:len(d.PackedConfig)/2], bomb(t)} {
		d.PackedConfig = body
		assert.Check(t, b.Apply(9000, "a", d) != nil, "%d bytes are decoded as a configuration", len(body))
	}
	assert.Equal(t, len(b.Servers(9000, "s")), 1)
	assert.Equal(t, b.Config.Table().Config.Version, uint64(3))
	assert.Equal(t, b.Freshness.Age(9000), before)
}

// bomb returns a small value that decompresses to more than maxUnpackedSize.
func bomb(t *testing.T) Packed {
	p, err := pack(make([]byte, 2*maxUnpackedSize))
	assert.NilError(t, err)
	return p
}

// Guards against results or a verdict that do not spread: a follower's results have to reach the other followers, and must not be
// returned to the follower itself, which would count them twice.
func TestReportsReachOtherVMs(t *testing.T) {
	order := canary.Order{Service: "s", Target: "v2", Duration: 20000, State: canary.Running, CreateRevision: 5}
	var lead, a, b Rollouts
	for _, x := range []*Rollouts{&lead, &a, &b} {
		x.put(0, 0, order)
	}
	for range 6 {
		a.Record(0, "s", canary.Result{Route: "r", Version: "v1", First: 10})
	}
	lead.Exchange(0, "a", a.Report(0))
	back := lead.Exchange(0, "a", a.Report(0))
	assert.Equal(t, len(back), 1)
	assert.Equal(t, len(back[0].Tallies), 0, "a VM's own results are returned to it")
	b.SetUpstream(0, lead.Exchange(0, "b", b.Report(0)))
	got := lead.Exchange(0, "b", b.Report(0))
	assert.DeepEqual(t, got[0].Tallies, []canary.Tally{{Model: "r", Good: 6}, {Model: "s", Good: 6}, {Model: "s failures", Good: 6}})
	for range 30 {
		a.Record(0, "s", canary.Result{Route: "r", Version: "v2", Failed: true})
	}
	lead.Exchange(0, "a", a.Report(0))
	b.SetUpstream(0, lead.Exchange(0, "b", b.Report(0)))
	due, reasons := b.due(1000, 1000)
	assert.Equal(t, len(due), 1)
	assert.Equal(t, due[0].State, canary.RolledBack)
	assert.Check(t, reasons[0] != "")
}

// Guards against results and loads that do not reach all VMs of the tree, or return to the VM that reported them: a bad version
// would be detected late, and servers would look busier than they are.
func TestSums(t *testing.T) {
	order := canary.Order{Service: "s", Target: "v2", Duration: 20000, State: canary.Running, CreateRevision: 5}
	var lead, other, a, b Feed
	for i, f := range []*Feed{&lead, &other, &a, &b} {
		f.Store = &scriptedStore{lists: map[Kind]Batch{Configs: config(1), Servers: {Rev: 1}, Orders: {Rev: 1}, Members: {Rev: 1}}}
		for k := range kinds {
			assert.NilError(t, f.Relist(t.Context(), k))
		}
		f.Orders.put(0, 0, order)
		f.Loads.Usage = func() []load.Usage { return []load.Usage{{Server: "x", InFlight: 1 << i}} }
	}
	for range 6 {
		a.Orders.Record(0, "s", canary.Result{Route: "r", Version: "v1", First: 10})
	}
	// Two levels: other follows lead, a and b follow other.
	query := func(from, to *Feed, name string) {
		d, err := to.Reply(name, from.Query("to"))
		assert.NilError(t, err)
		assert.NilError(t, from.Apply(0, "to", d))
	}
	for range 2 {
		query(&a, &other, "a")
		query(&b, &other, "b")
		query(&other, &lead, "other")
	}
	now := lead.Clock.Now()
	for _, c := range []struct {
		name string
		f    *Feed
		want int // requests in flight of the other VMs
	}{{"the root", &lead, 2 + 4 + 8}, {"the middle", &other, 1 + 4 + 8}, {"a", &a, 1 + 2 + 8}, {"b", &b, 1 + 2 + 4}} {
		c.f.Loads.Refresh(now)
		assert.Equal(t, c.f.Loads.Others(now).Uses["x"].InFlight, c.want, c.name)
	}
	for _, f := range []*Feed{&lead, &other, &b} {
		got := f.Orders.Exchange(now, "z", nil)
		assert.DeepEqual(t, got[0].Tallies, []canary.Tally{{Model: "r", Good: 6}, {Model: "s", Good: 6}, {Model: "s failures", Good: 6}})
	}
	assert.Check(t, a.Loads.Others(now.Add(2*loadTTL)) == nil, "expired loads are included")
	sums := lead.Orders.Exchange(now.Add(2*reportTTL), "z", nil)
	assert.Equal(t, len(sums[0].Tallies), 0, "expired results are included")
}

// Guards against a fleet whose VMs all list a kind again when the store drops its history: only the VM that is followed does, and
// it passes on the differences.
func TestRelistLeavesNoGap(t *testing.T) {
	server := func(id string, leaving bool) Object {
		return Object{Name: id, Server: &backend.Server{ID: id, Service: "s", Leaving: leaving}}
	}
	s := &scriptedStore{lists: map[Kind]Batch{
		Servers: {Rev: 5, Objects: []Object{server("x", false), server("y", false), server("u", false)}},
	}}
	a, b := &Feed{Store: s}, &Feed{Store: s}
	for _, f := range []*Feed{a, b} {
		assert.NilError(t, f.Relist(t.Context(), Servers))
	}
	s.lists[Servers] = Batch{Rev: 20, Objects: []Object{server("y", true), server("z", false), server("u", false)}}
	assert.NilError(t, a.Relist(t.Context(), Servers))
	d, err := a.ChangesSince(b.Query("a").Revs, Eras{})
	assert.NilError(t, err)
	assert.Equal(t, len(d.Kinds[Servers].Snapshot), 0)
	assert.Equal(t, len(d.Kinds[Servers].Objects), 3, "only the changes are passed on")
	assert.NilError(t, b.Apply(0, "a", d))
	for _, f := range []*Feed{a, b} {
		got := f.Servers(99, "s")
		assert.Equal(t, len(got), 2)
		assert.Equal(t, got[0].ID+got[1].ID, "uz")
	}
}

// Guards against a stale list after the store dropped its history: the changes since that list may be gone as well, so the VM
// would list again and again while the store returns old data.
func TestOnlyFirstListMayBeStale(t *testing.T) {
	f := &Feed{Store: &scriptedStore{lists: map[Kind]Batch{}}}
	for _, c := range []struct {
		kind  Kind
		first Consistency
	}{{Configs, Latest}, {Servers, Latest}, {Orders, Stale}, {Members, Latest}} {
		assert.Equal(t, f.listConsistency(c.kind), c.first, "%s", c.kind)
		assert.NilError(t, f.Relist(t.Context(), c.kind))
		assert.Equal(t, f.listConsistency(c.kind), Latest, "%s", c.kind)
	}
}

// Guards against followers that each list a kind from the store although the VM that they follow has it. When many VMs start
// together, its history can begin at a later revision than theirs; it then sends all objects.
func TestSnapshotIsPassedOn(t *testing.T) {
	member := func(name string) Object { return Object{Name: name, Member: &Member{Name: name, Domain: "d"}} }
	s := &scriptedStore{lists: map[Kind]Batch{Members: {Rev: 3, Objects: []Object{member("a"), member("gone")}}}}
	a, b := &Feed{Store: s}, &Feed{Store: s}
	assert.NilError(t, b.Relist(t.Context(), Members))
	s.lists[Members] = Batch{Rev: 8, Objects: []Object{member("a"), member("b")}}
	assert.NilError(t, a.Relist(t.Context(), Members))
	d, err := a.ChangesSince(b.Query("a").Revs, Eras{})
	assert.NilError(t, err)
	assert.Check(t, d.Kinds[Members].Snapshot != nil)
	assert.NilError(t, b.Apply(0, "a", d))
	assert.Equal(t, len(b.Members()), 2)
	d, err = a.ChangesSince(b.Query("a").Revs, Eras{})
	assert.NilError(t, err)
	assert.Check(t, d.Kinds[Members].Snapshot == nil && len(d.Kinds[Members].Objects) == 0)
}

// Guards against a VM whose link is saturated by the loads that it sends to its followers, and against loads that expire because
// they are sent too rarely.
func TestLoadsFitTheLink(t *testing.T) {
	const followers, servers = 59, 250
	var uses []load.Usage
	for i := range servers {
		uses = append(uses, load.Usage{Server: fmt.Sprintf("i-%010x", i), InFlight: i % 9, PendingTokens: 700 * i})
	}
	for _, c := range []struct {
		link int // Mbit/s
		most int // bytes a second
	}{{20, 450_000}, {200, 2_500_000}, {0, 1 << 30}} {
		l := Loads{LinkMbps: c.link}
		var bytes int
		last, oldest := make(map[int]clock.Time), clock.Span(0)
		for now := clock.Time(0); now < 10_000; now += 300 {
			l.SetUpstream(now, uses) // upstream reports load at all servers
			for i := range followers {
				all, ok := l.Exchange(now, fmt.Sprint("vm-", i), uses[:20])
				if !ok {
					continue
				}
				raw, err := peer.Marshal(all)
				assert.NilError(t, err)
				bytes += len(raw)
				if at, ok := last[i]; ok {
					oldest = max(oldest, now.Sub(at))
				}
				last[i] = now
			}
		}
		assert.Check(t, bytes/10 <= c.most, "%d Mbit/s: %d bytes a second", c.link, bytes/10)
		assert.Check(t, oldest < loadTTL, "%d Mbit/s: sent after %d ms", c.link, oldest)
	}
}

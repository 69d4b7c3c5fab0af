package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// serverBatch returns a batch with servers of service s, at a position.
func serverBatch(era, rev uint64, names ...string) Batch {
	b := Batch{Era: era, Rev: rev}
	for _, n := range names {
		b.Objects = append(b.Objects, Object{Name: n, Server: &backend.Server{ID: n, Service: "s", Born: 1}})
	}
	return b
}

// names returns the servers of service s that may get requests once all grace periods have passed.
func names(f *Feed) (out []string) {
	for _, v := range f.Servers(f.Clock.Now().Add(clock.Minute), "s") {
		out = append(out, v.ID)
	}
	return out
}

// Guards against VMs that keep objects which the store lost, or miss those that it has since, because a revision that was given out
// twice is taken for the first one.
func TestChangesOfAnotherEra(t *testing.T) {
	tests := []struct {
		name    string
		follows Batch // what the VM that follows knew, in era 1
		leads   Batch // what its upstream knew, in era 1
		list    Batch // what the upstream lists in era 2
		changes []Batch
		want    []string
	}{
		{"lower revision", serverBatch(1, 30, "a", "lost"), serverBatch(1, 30, "a", "lost"), serverBatch(2, 20, "a"), nil, []string{"a"}},
		{"same revision", serverBatch(1, 30, "a", "lost"), serverBatch(1, 30, "a", "lost"), serverBatch(2, 30, "a", "b"), nil, []string{"a", "b"}},
		{"the upstream never knew what was lost", serverBatch(1, 30, "a", "lost"), serverBatch(1, 25, "a"), serverBatch(2, 20, "a"), nil, []string{"a"}},
		{"changes up to the revision that is known", serverBatch(1, 30, "a"), serverBatch(1, 30, "a"), serverBatch(2, 20, "a"),
			[]Batch{serverBatch(2, 25, "b"), serverBatch(2, 30, "c")}, []string{"a", "b", "c"}},
		{"a list of the earlier era arrives late", serverBatch(1, 30, "a"), serverBatch(1, 30, "a"), serverBatch(2, 20, "a"),
			[]Batch{serverBatch(1, 40, "late")}, []string{"a"}},
	}
	for _, tt := range tests {
		a, b := synchronised(t, &catalog.Config{Version: 1}), synchronised(t, &catalog.Config{Version: 1})
		a.applyList(Servers, tt.leads)
		b.applyList(Servers, tt.follows)
		a.applyList(Servers, tt.list)
		for _, c := range tt.changes {
			a.applyChanges(Servers, c)
		}
		d, err := a.Reply("b", b.Query("a"))
		assert.NilError(t, err)
		assert.NilError(t, b.Apply(9000, "a", d))
		assert.Equal(t, fmt.Sprint(names(a)), fmt.Sprint(tt.want), tt.name)
		assert.Equal(t, fmt.Sprint(names(b)), fmt.Sprint(tt.want), tt.name)
		assert.Equal(t, a.positions(), b.positions(), tt.name)
		d, err = b.Reply("a", a.Query("b"))
		assert.NilError(t, err)
		assert.Equal(t, len(d.Kinds[Servers].Objects), 0, tt.name)
		assert.Check(t, d.Kinds[Servers].Snapshot == nil, "%s: all objects are sent again", tt.name)
	}
}

// Guards against a kind whose changes are missed for as long as its watch waits after the store came back from an older copy.
func TestAllKindsAreListedInAnotherEra(t *testing.T) {
	inEra := func(era uint64) map[Kind]Batch {
		c := config(1)
		c.Era = era
		return map[Kind]Batch{Configs: c, Servers: {Era: era, Rev: 1}, Orders: {Era: era, Rev: 1}, Members: {Era: era, Rev: 1}, Evacuations: {Era: era, Rev: 1}}
	}
	s := &scriptedStore{lists: inEra(1), watches: make(chan watchResult), listed: make(chan Kind, 100)}
	run(t, s)
	for range kinds {
		<-s.listed
	}
	s.restore(inEra(2))
	s.watches <- watchResult{batch: Batch{Era: 2, Rev: 9}}
	got := make(map[Kind]bool)
	for range kinds {
		select {
		case k := <-s.listed:
			got[k] = true
		case <-time.After(5 * time.Second):
		}
	}
	assert.Equal(t, len(got), int(kinds), "listed: %v", got)
}

// Guards against a revoked key that is served again because the store lost the revocation: it came back from an older copy, and what
// is read from it proves nothing until the operator has written again what it lost.
func TestRevokedKeyAfterTheStoreCameBackOlder(t *testing.T) {
	f := synchronised(t, &catalog.Config{Version: 6})
	s, c := f.Store.(*scriptedStore), f.Clock
	c.Advance(3000) // cut off; meanwhile the store accepts version 7, which revokes a key, and loses it
	lost := config(6)
	lost.Era, lost.Rev = 2, 5
	f.eras.newest = 1
	s.restore(map[Kind]Batch{Configs: lost})
	assert.NilError(t, f.Relist(t.Context(), Configs))
	c.Advance(1900)
	assert.NilError(t, f.Relist(t.Context(), Configs))
	assert.Check(t, !f.Fresh(), "a list of the older copy proves that the key is valid")

	c.Advance(200)
	written := config(7)
	written.Era, written.Rev = 2, 6
	s.restore(map[Kind]Batch{Configs: written})
	assert.NilError(t, f.Relist(t.Context(), Configs))
	assert.Check(t, f.Fresh())
	assert.Equal(t, f.Config.Table().Config.Version, uint64(7))
}

// Guards against a VM that starts while the store has lost a revocation, and takes the copy for the newest configuration. A VM that
// another one tells its proof does not wait.
func TestStartAfterTheStoreCameBackOlder(t *testing.T) {
	tests := []struct {
		era  uint64
		want bool
	}{{0, true}, {firstEra, true}, {2, false}}
	for _, tt := range tests {
		b := config(6)
		b.Era = tt.era
		f := &Feed{EvacuateWithin: 5000, Clock: clock.NewManual(9000), Store: &scriptedStore{lists: map[Kind]Batch{Configs: b}}}
		f.Freshness.MaxAge = 5000
		for k := range kinds {
			assert.NilError(t, f.Relist(t.Context(), k))
		}
		assert.Equal(t, f.Fresh(), tt.want, "era %d", tt.era)

		other := synchronised(t, &catalog.Config{Version: 6})
		d, err := other.Reply("f", f.Query("other"))
		assert.NilError(t, err)
		assert.NilError(t, f.Apply(9000, "other", d))
		assert.Check(t, f.Fresh(), "era %d", tt.era)
	}
}

// Guards against requests to a server that is known to leave, and against VMs that drop servers whose entries the store lost, at the
// VM that reads the store and at one that follows it.
func TestServersOfAnOlderCopy(t *testing.T) {
	a, b := synchronised(t, &catalog.Config{Version: 1}), synchronised(t, &catalog.Config{Version: 1})
	copied := serverBatch(2, 20, "a", "leaves")
	for _, f := range []*Feed{a, b} {
		f.applyList(Servers, serverBatch(1, 30, "a", "leaves", "late"))
		left := serverBatch(1, 31, "leaves")
		left.Objects[0].Server.Leaving = true
		f.applyChanges(Servers, left)
	}
	a.applyList(Servers, copied)
	d, err := a.Reply("b", b.Query("a"))
	assert.NilError(t, err)
	assert.NilError(t, b.Apply(9000, "a", d))
	for _, f := range []*Feed{a, b} {
		got := []string{}
		for _, v := range f.Servers(f.Clock.Now().Add(clock.Second), "s") {
			got = append(got, v.ID)
		}
		assert.DeepEqual(t, got, []string{"a", "late"})
	}
}

// Guards against an order that is forgotten, carried out again or finished without its results when the store comes back from an
// older copy: a version that was found to be bad gets requests again.
func TestOrderOfAnOlderCopy(t *testing.T) {
	order := func(era, made, rev uint64, target string, s canary.State) canary.Order {
		return canary.Order{
			Service: "s", Target: target, Duration: clock.Minute, State: s, Started: 5000, Rev: rev, CreateRevision: made, Era: era,
		}
	}
	list := func(era uint64, in ...canary.Order) Batch {
		b := Batch{Era: era, Rev: 50 - 10*era}
		for _, o := range in {
			b.Objects = append(b.Objects, Object{Name: o.Service, Order: &o})
		}
		return b
	}
	const running, done, rolledBack = canary.Running, canary.Done, canary.RolledBack
	known := order(1, 38, 39, "v2", running)
	tests := []struct {
		name   string
		known  canary.Order
		copied []canary.Order
		event  *canary.Order // written after the list
		after  clock.Span
		want   string // target and state in force, and the state that is to be written with its condition
		same   bool   // the rollout goes on with its results
	}{
		{"rolled back, lost", order(1, 10, 39, "v2", rolledBack), []canary.Order{order(2, 10, 12, "v2", running)}, nil, 0, "v2 rolled back, rolled back 12", true},
		{"done, lost", order(1, 10, 39, "v2", done), []canary.Order{order(2, 10, 12, "v2", canary.New)}, nil, 0, "v2 done, done 12", true},
		{"running, lost", order(1, 10, 39, "v2", running), []canary.Order{order(2, 10, 10, "v2", canary.New)}, nil, 0, "v2 running, running 10", true},
		{"missing", known, nil, nil, rewriteSpan - 1, "v2 running, ", true},
		{"missing for good", known, nil, nil, rewriteSpan, "", false},
		{"missing and written again", known, nil, &canary.Order{Service: "s", Target: "v2", Duration: clock.Minute, Rev: 34, CreateRevision: 34, Era: 2}, 9000, "v2 running, running 34", true},
		{"an earlier one in its place", known, []canary.Order{order(2, 5, 6, "v1", done)}, nil, rewriteSpan - 1, "v2 running, ", true},
		{"an earlier one in its place for good", known, []canary.Order{order(2, 5, 6, "v1", done)}, nil, rewriteSpan, "v1 done, ", false},
		{"another one is written", known, []canary.Order{order(2, 5, 6, "v1", done)}, &canary.Order{Service: "s", Target: "v3", Duration: clock.Minute, Rev: 34, CreateRevision: 34, Era: 2}, 0, "v3 new, running 34", false},
		{"the revision is another order's now", known, nil, &canary.Order{Service: "s", Target: "v3", Duration: clock.Minute, Rev: 38, CreateRevision: 38, Era: 2}, 0, "v3 new, running 38", false},
		{"final in the store", known, []canary.Order{order(2, 10, 12, "v2", rolledBack)}, nil, 0, "v2 rolled back, ", true},
	}
	for _, tt := range tests {
		f := synchronised(t, &catalog.Config{Version: 1})
		f.applyList(Orders, list(1, tt.known))
		before := f.Orders.find("s")
		f.applyList(Orders, list(2, tt.copied...))
		if tt.event != nil {
			f.applyChanges(Orders, Batch{Era: 2, Rev: 40, Objects: []Object{{Name: "s", Order: tt.event}}})
		}
		now := f.Clock.Now().Add(tt.after)
		f.Orders.Choose(now, "s", "", nil)
		got := ""
		if r := f.Orders.find("s"); r != nil {
			got = fmt.Sprintf("%s %s, ", r.Order.Target, r.Order.State)
			assert.Equal(t, r == before, tt.same, tt.name)
		}
		orders, _ := f.Orders.due(now, f.Clock.Wall())
		for _, o := range orders {
			got += fmt.Sprint(o.State, " ", o.Rev)
			assert.Equal(t, o.Era, uint64(2), tt.name)
		}
		assert.Equal(t, got, tt.want, tt.name)
	}
}

// Guards against a configuration that only a VM below has: the VM that reads the store missed it, and the store has lost it.
func TestNewestConfigurationTravelsUp(t *testing.T) {
	a, b := synchronised(t, &catalog.Config{Version: 6}), synchronised(t, &catalog.Config{Version: 7})
	for range 2 {
		d, err := a.Reply("b", b.Query("a"))
		assert.NilError(t, err)
		assert.NilError(t, b.Apply(9000, "a", d))
	}
	assert.Equal(t, a.Config.Table().Config.Version, uint64(7))
	assert.Equal(t, b.Config.Table().Config.Version, uint64(7))
	q := b.Query("a")
	assert.Check(t, q.Newer == nil, "a configuration is sent again to a VM that has it")
}

package feed

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/backend"
	"shallotrun/core/canary"
	"shallotrun/core/catalog"
	"shallotrun/core/clock"
	"shallotrun/io/peer"
)

// evacuations returns a batch of evacuated domains.
func evacuations(era, rev uint64, domains ...string) Batch {
	b := Batch{Era: era, Rev: rev}
	for _, d := range domains {
		b.Objects = append(b.Objects, Object{Name: d})
	}
	return b
}

// usable returns the domains of a, b and c whose servers may get requests.
func usable(f *Feed, after clock.Span) (out string) {
	all, _, _ := f.Evacuated.Split(f.Clock.Now().Add(after), []backend.Server{{Domain: "a"}, {Domain: "b"}, {Domain: "c"}})
	for _, v := range all {
		out += v.Domain
	}
	return out
}

// exchange passes the objects of a VM to one that follows it.
func exchange(t *testing.T, from, to *Feed) {
	t.Helper()
	d, err := from.Reply("to", to.Query("from"))
	assert.NilError(t, err)
	assert.NilError(t, to.Apply(to.Clock.Boot(), "from", d))
}

// Guards against an evacuation, or its end, that VMs which follow others do not learn, that is forgotten while the store is away, or that
// ends because the store came back from an older copy.
func TestEvacuationsArePassedOn(t *testing.T) {
	tests := []struct {
		name    string
		list    *Batch // after the evacuation of a at revision 30 of era 1
		changes []Batch
		after   clock.Span
		want    string
	}{
		{"in force, and the store is away", nil, nil, clock.Minute, "bc"},
		{"another one", nil, []Batch{evacuations(1, 31, "b")}, 0, "c"},
		{"taken back", nil, []Batch{{Era: 1, Rev: 31, Objects: []Object{{Name: "a", Removed: true}}}}, 0, "abc"},
		{"taken back while the store dropped its history", ptr(evacuations(1, 40, "c")), nil, 0, "ab"},
		{"of another writer, unknown", nil, []Batch{evacuations(1, 31, "x", "\x00\xff")}, 0, "bc"},
		{"an unknown one is removed", nil, []Batch{{Era: 1, Rev: 31, Objects: []Object{{Name: "x", Removed: true}}}}, 0, "bc"},
		{"lost by the store", ptr(evacuations(2, 20)), nil, rewriteSpan - 1, "bc"},
		{"lost for good", ptr(evacuations(2, 20)), nil, rewriteSpan, "abc"},
		{"lost and written again", ptr(evacuations(2, 20)), []Batch{evacuations(2, 21, "a")}, clock.Minute, "bc"},
		{"an older list arrives late", ptr(evacuations(1, 20)), nil, 0, "bc"},
	}
	for _, tt := range tests {
		a, b, c := synchronised(t, &catalog.Config{Version: 1}), synchronised(t, &catalog.Config{Version: 1}), synchronised(t, &catalog.Config{Version: 1})
		a.applyList(Evacuations, evacuations(1, 30, "a"))
		exchange(t, a, b)
		exchange(t, b, c)
		if tt.list != nil {
			a.applyList(Evacuations, *tt.list)
		}
		for _, change := range tt.changes {
			a.applyChanges(Evacuations, change)
		}
		exchange(t, a, b)
		exchange(t, b, c)
		for i, f := range []*Feed{a, b, c} {
			assert.Equal(t, usable(f, tt.after), tt.want, "%s, VM %d", tt.name, i)
		}
	}
}

func ptr[T any](v T) *T { return &v }

// earlierKinds is the number of kinds of the builds before evacuations.
const earlierKinds = 4

// earlierQuery and earlierDelta are the messages of those builds, as far as their arrays go.
type earlierQuery struct {
	Revs, Eras [earlierKinds]uint64
	Config     uint64
}

type earlierDelta struct {
	Unready bool
	Config  uint64
	Kinds   [earlierKinds]Changes
}

// Guards against a VM that cannot follow one of an earlier build, or be followed by it, that never becomes ready because that VM tells it no
// evacuations, or that does not learn them by itself.
func TestEvacuationsBesideEarlierBuild(t *testing.T) {
	a := synchronised(t, &catalog.Config{Version: 1})
	a.applyList(Servers, serverBatch(0, 9, "v"))
	a.applyList(Evacuations, evacuations(0, 9, "a"))

	var q Query // of a VM of an earlier build
	recode(t, earlierQuery{Config: 1, Revs: [earlierKinds]uint64{1, 1, 1, 1}}, &q)
	d, err := a.Reply("earlier", q)
	assert.NilError(t, err)
	var old earlierDelta // what it understands of the reply
	recode(t, d, &old)
	assert.Check(t, len(old.Kinds[Servers].Objects) == 1 && old.Kinds[Servers].Rev == 9)
	var back Query
	recode(t, a.Query("earlier"), &earlierQuery{})

	recode(t, old, &d) // what a VM of this build gets from one of an earlier build
	recode(t, earlierQuery{}, &back)
	d.PackedConfig, err = pack(a.Config.Table().Config)
	assert.NilError(t, err)
	for k := Servers; k < earlierKinds; k++ {
		d.Kinds[k].Snapshot, err = pack([]Object{})
		assert.NilError(t, err)
	}
	c := clock.NewManual(9000)
	s := &scriptedStore{lists: map[Kind]Batch{Evacuations: evacuations(0, 9, "a")}}
	f := &Feed{Clock: c, Store: s, EvacuateWithin: 5000}
	f.WaitWhileFollowing = func(ctx context.Context) { <-ctx.Done() }
	assert.NilError(t, f.Apply(9000, "earlier", d))
	assert.Check(t, !f.Synchronised(), "it could send requests to an evacuated domain")
	c.Advance(5000)
	assert.Check(t, f.Synchronised(), "it waits for evacuations that the store does not give it")

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	waitFor(t, func() bool { return usable(f, 0) == "bc" })
	cancel()
	<-done
}

// recode encodes a message and decodes it as that of another build.
func recode(t *testing.T, from, to any) {
	t.Helper()
	b, err := peer.Marshal(from)
	assert.NilError(t, err)
	assert.NilError(t, peer.Unmarshal(b, to))
}

// Guards against calls to the store about evacuations where the settings do not ask for them, and against a VM that is not ready then or
// applies them, and a VM that follows it and never learns them.
func TestEvacuationsNotAskedFor(t *testing.T) {
	s := &scriptedStore{lists: map[Kind]Batch{Configs: config(1)}, watches: make(chan watchResult), listed: make(chan Kind, 100)}
	f := &Feed{Store: s, Clock: clock.NewManual(100_000)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	waitFor(t, f.Synchronised)
	time.Sleep(50 * time.Millisecond)
	cancel()
	<-done
	close(s.listed)
	for k := range s.listed {
		assert.Check(t, k != Evacuations)
	}
	a := synchronised(t, &catalog.Config{Version: 1})
	a.applyList(Evacuations, evacuations(0, 9, "a"))
	exchange(t, a, f)
	assert.Equal(t, usable(f, 0), "abc")
	exchange(t, f, a)
	assert.Check(t, a.isUntold, "it would wait for evacuations that the other VM does not have")
	b := synchronised(t, &catalog.Config{Version: 1})
	b.applyList(Evacuations, evacuations(0, 9, "a"))
	exchange(t, b, a)
	assert.Check(t, !a.isUntold)
	assert.Equal(t, usable(a, 0), "bc")
}

// Guards against a request to a version without an order because the servers of the one in use are all evacuated, and against requests
// without a session that are refused although the version before may still have them.
func TestVersionsBesideEvacuations(t *testing.T) {
	all := []backend.Server{{ID: "1", Service: "s", Domain: "b", Version: "v1", Made: 1}, {ID: "2", Service: "s", Domain: "a", Version: "v2", Made: 2}}
	f := synchronised(t, &catalog.Config{Version: 1})
	f.Orders.Usable = func(in []backend.Server) []backend.Server { out, _, _ := f.Evacuated.Split(0, in); return out }
	f.applyList(Evacuations, evacuations(0, 9, "b"))
	got, _, _ := f.Evacuated.Split(0, f.Orders.Choose(0, "s", "", all))
	assert.Equal(t, len(got), 0, "a version without an order")

	f.applyList(Evacuations, evacuations(0, 10, "a"))
	f.applyChanges(Orders, runningOrder(11))
	for _, tt := range []struct{ session, want string }{{"", "v1"}, {"x", "v2"}} {
		got := f.Orders.Choose(f.Clock.Now().Add(9900), "s", tt.session, all) // in the last stage
		assert.Equal(t, got[0].Version, tt.want, "session %q", tt.session)
	}
}

// runningOrder returns the change of an order to move service s to v2 within 10 s.
func runningOrder(rev uint64) Batch {
	o := canary.Order{Service: "s", Target: "v2", Duration: 10 * clock.Second, State: canary.Running, Rev: rev}
	return Batch{Rev: rev, Objects: []Object{{Name: "s", Order: &o}}}
}

// Guards against a silent connection to the store by which an evacuation comes too late: the watch has to end in half of the bound.
func TestWatchOfEvacuationsFitsBound(t *testing.T) {
	for _, tt := range []struct{ within, want clock.Span }{{5000, 2500}, {60000, 4000}, {200, minEvacuationWatch}} {
		f := &Feed{EvacuateWithin: tt.within}
		assert.Equal(t, f.watchSpan(Evacuations), tt.want, "bound of %d ms", tt.within)
		assert.Equal(t, f.watchSpan(Orders), watchTimeout[Orders])
	}
}

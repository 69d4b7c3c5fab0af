package config

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
	"shallotrun/core/document"
)

func store() *Store { return &Store{Clock: clock.NewManual(1000)} }

func offer(t *testing.T, s *Store, raw string, revision uint64, want bool) {
	t.Helper()
	ok, err := s.Offer([]byte(raw), revision)
	assert.NilError(t, err)
	assert.Equal(t, ok, want)
}

// Guards against a configuration that goes back: an older document from a slow peer, and a newer one that
// is not valid.
func TestRevisionOnlyGrows(t *testing.T) {
	s := store()
	var seen []uint64
	s.Subscribe(func(d *document.Snapshot) { seen = append(seen, d.Revision) })
	assert.Check(t, !s.Fresh(), "no document yet")
	offer(t, s, doc("ana", "canary", 5), 7, true)
	offer(t, s, doc("old", "canary", 5), 6, false)
	offer(t, s, doc("same", "canary", 5), 7, false)
	_, err := s.Offer([]byte(`{"author":"x"}`), 9)
	assert.ErrorContains(t, err, "revision 9")
	assert.Equal(t, s.Current().Document.Author, "ana")
	assert.Equal(t, s.Refused().Revision, uint64(9))
	offer(t, s, doc("bor", "canary", 6), 10, true)
	assert.Equal(t, s.Refused().Revision, uint64(0))
	assert.DeepEqual(t, seen, []uint64{7, 10})
	raw, revision := s.Raw()
	other := store()
	offer(t, other, string(raw), revision, true)
	assert.Equal(t, other.Current().Digest, s.Current().Digest)
}

// Guards against new work on an outdated document after a pause: the version may have been withdrawn while
// the process stood still.
func TestPause(t *testing.T) {
	rows := []struct {
		name  string
		gap   clock.Span
		heard func(s *Store)
		wait  clock.Span
		fresh bool
	}{
		{"short gap", 2 * clock.Second, func(*Store) {}, 0, true},
		{"nobody answered yet", 3 * clock.Second, func(*Store) {}, 900, false},
		{"nobody reachable", 3 * clock.Second, func(*Store) {}, 1000, true},
		{"a message that waited in a socket", 3 * clock.Second, func(s *Store) { s.Heard(7) }, 0, false},
		{"the same document offered again", 3 * clock.Second, func(s *Store) { _, _ = s.Offer(nil, 7) }, 0, false},
		{"answer to a question from before", 3 * clock.Second, func(s *Store) { s.Confirm(7, 1500) }, 0, false},
		{"answer to a question", 3 * clock.Second, func(s *Store) { s.Confirm(7, s.Clock.Now()) }, 0, true},
		{"peer has a newer one", 3 * clock.Second, func(s *Store) { s.Heard(8) }, 2000, false},
		{"newer one, nobody was asked", 3 * clock.Second, func(s *Store) {
			_, _ = s.Offer([]byte(doc("bor", "withdrawn", 0)), 8)
		}, 0, false},
		{"newer one arrived", 3 * clock.Second, func(s *Store) {
			s.Confirm(8, s.Clock.Now())
			_, _ = s.Offer([]byte(doc("bor", "withdrawn", 0)), 8)
		}, 0, true},
		{"newer one is not valid", 3 * clock.Second, func(s *Store) {
			s.Confirm(8, s.Clock.Now())
			_, _ = s.Offer([]byte(`{}`), 8)
		}, 0, true},
		{"newer one never arrives", 3 * clock.Second, func(s *Store) { s.Heard(8) }, 8000, true},
	}
	for _, r := range rows {
		s := store()
		offer(t, s, doc("ana", "canary", 5), 7, true)
		s.Tick()
		s.Clock.Advance(r.gap)
		if r.gap > pauseLimit {
			assert.Check(t, !s.Fresh(), r.name) // before any tick
		}
		r.heard(s)
		for range r.wait / 100 {
			s.Clock.Advance(100)
			s.Tick()
		}
		assert.Check(t, s.Fresh() == r.fresh, r.name)
	}
}

// Guards against a platform outage that is measured too short, so that a version with stale refuse is
// served for longer than the operator allows.
func TestSilent(t *testing.T) {
	s := store()
	assert.Equal(t, s.Silent(), clock.Span(0))
	s.Clock.Advance(500)
	s.Contact(1500)
	s.Clock.Advance(5000)
	assert.Equal(t, s.Silent(), clock.Span(5000))
	s.Contact(1600) // asked before the pause that the 5 s are, answered after it
	assert.Equal(t, s.Silent(), clock.Span(5000))
	// The wall clock ran 60 s further than the monotonic one while the VM was suspended.
	p := pause{started: true, now: 1000, wall: 1000, contact: 1000}
	c := clock.Clock{}
	p.now, p.contact, p.wall = c.Now(), c.Now(), c.Wall().Add(-60*clock.Second)
	assert.Check(t, p.step(c), "a suspended VM counts as paused")
	assert.Check(t, p.lost >= 59*clock.Second)
}

// Guards against a halt that is lost in merging, that an unrelated change clears, or that outlives the
// operator's decision.
func TestHalts(t *testing.T) {
	a, b := store(), store()
	for _, s := range []*Store{a, b} {
		offer(t, s, doc("ana", "canary", 5), 7, true)
	}
	assert.Check(t, a.Halt("m", "2", "errors"))
	assert.Check(t, !a.Halt("m", "9", "no such version"))
	assert.Equal(t, len(b.MergeHalts(a.Halts())), 1)
	assert.Equal(t, len(b.MergeHalts(a.Halts())), 0, "known already")
	assert.Check(t, b.Halted("m", "2") && !b.Halted("m", "1"))
	offer(t, b, doc("auto", "canary", 10), 8, true)
	assert.Check(t, b.Halted("m", "2"), "the next step of a roll-out does not clear a halt")
	offer(t, b, doc("bor", "withdrawn", 0), 9, true)
	offer(t, b, doc("bor", "canary", 5), 10, true)
	assert.Check(t, !b.Halted("m", "2"), "the operator started again")
	b.MergeHalts(a.Halts())
	assert.Check(t, !b.Halted("m", "2"), "an old halt comes back from a peer")
	a.MergeHalts(b.Halts())
	assert.Check(t, !a.Halted("m", "2"), "a peer that missed the documents learns of it")
	b.Halt("m", "2", "again")
	assert.Check(t, b.Halted("m", "2"))
}

// Guards against a watcher that stops at an outage, that keeps watching when it is switched off, or a VM
// that cannot boot without being a watcher.
func TestWatcher(t *testing.T) {
	f := &fake{}
	s := &Store{}
	w := &Watcher{Store: s, Client: f.start(t), Wait: 100}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	change := func(g func()) { f.mu.Lock(); defer f.mu.Unlock(); g() }
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), what)
		}
	}
	change(func() { f.set(doc("ana", "canary", 5)) })
	until("boot without being a watcher", func() bool { return s.Revision() == 1 })
	change(func() { f.set(doc("bor", "canary", 6)) })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.Revision(), uint64(1), "not switched on")
	w.Enable(true)
	until("watch", func() bool { return s.Revision() == 2 })
	change(func() { f.down = true; f.set(doc("cene", "canary", 7)) })
	time.Sleep(300 * time.Millisecond)
	change(func() { f.down = false })
	until("after an outage", func() bool { return s.Revision() == 3 })
	late := &Watcher{Store: &Store{}, Client: w.Client, Slow: 20}
	go late.Run(ctx)
	until("boot", func() bool { return late.Store.Revision() == 3 })
	change(func() { f.set(doc("dane", "canary", 8)) })
	until("no peer gave the newer document", func() bool { return late.Store.Revision() == 4 })
	cancel()
	<-done
}

// Guards against two operators who lose each other's change, and against a response lost after the change
// took effect being reported as a failure.
func TestWriter(t *testing.T) {
	ctx := context.Background()
	f := &fake{}
	w := &Writer{Client: f.start(t)}
	f.set(doc("ana", "canary", 5))
	base, err := w.Read(ctx)
	assert.NilError(t, err)
	mine, err := base.Document.Clone()
	assert.NilError(t, err)
	mine.Author = "bor"
	assert.NilError(t, mine.Rollout("m", "2", 20))

	f.lose = 1
	revision, err := w.Replace(ctx, base, mine)
	assert.NilError(t, err, "the response was lost, the change took effect")
	assert.Equal(t, revision, uint64(2))

	var conflict *document.Conflict
	_, err = w.Replace(ctx, base, mine)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, len(conflict.Theirs()), 2)
	assert.Equal(t, len(conflict.Ours()), 2)

	once := true
	f.before = func(f *fake) {
		if once {
			f.set(doc("other", "canary", 30))
		}
		once = false
	}
	revision, err = w.Edit(ctx, "bor", "", func(d *document.Document) error { return d.Withdraw("m", "2", "") })
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(4))
	now, err := w.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, now.Document.Version("m", "2").State, document.Withdrawn)
	revision, err = w.Edit(ctx, "bor", "", func(d *document.Document) error { return d.Withdraw("m", "2", "") })
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(4), "nothing to change")
	_, err = w.Edit(ctx, "bor", "", func(d *document.Document) error { return d.Withdraw("m", "1", "") })
	assert.NilError(t, err, "the last version of a model can be withdrawn")
}

package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"shallotrun/core/clock"
	"shallotrun/io/platform"
)

// Kind and Name identify the document in the platform's store.
const (
	Kind = "config"
	Name = "main"
)

// minBackoff and maxBackoff bound the backoff while the platform's store does not answer. maxBackoff is below the 8 s within
// which a document is in force on every VM.
const (
	minBackoff = 200 * clock.Millisecond
	maxBackoff = 4 * clock.Second
)

// defaultPollInterval is the time between two reads by a VM that does not watch. It bounds how long a VM keeps an old document
// if no peer sends it the newer one. At this interval, 340 VMs make 6 reads/s.
const defaultPollInterval = 60 * clock.Second

// Watcher reads the document from the platform's store and offers it to the Store. While it is disabled, it reads until a first
// document is in force, so that a VM can boot before it has peers, and then polls once a minute. While it is enabled, it waits
// for changes by watch requests. Set the exported fields before Run.
type Watcher struct {
	Store        *Store
	Client       *platform.Client
	Log          zerolog.Logger
	WatchTimeout clock.Span // how long one watch request waits for a change; 0 means 5 s
	PollInterval clock.Span // interval between two reads while it is disabled; 0 means 1 min

	mu      sync.Mutex
	enabled bool
	changed chan struct{} // closed at the next change of enabled
}

// Enable switches the watch on or off. Package fleet calls it: two VMs of each failure domain watch, which bounds the load on
// the platform's store.
func (w *Watcher) Enable(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.enabled == on {
		return
	}
	w.enabled = on
	close(w.signal())
	w.changed = nil
	w.Log.Info().Bool("on", on).Msg("config: watch of the platform's store switched on or off")
}

// Run polls or watches the platform's store until ctx ends, with backoff while it does not answer.
func (w *Watcher) Run(ctx context.Context) {
	w.Store.OnPause(func() {
		if err := w.Refresh(ctx); err != nil {
			w.Log.Debug().Err(err).Msg("config: cannot read the document from the platform's store after a pause")
		}
	})
	delay := minBackoff
	since := uint64(0)
	for ctx.Err() == nil {
		on, changed := w.state()
		if !on && w.Store.Current() != nil {
			since = 0
			if sleep(ctx, jitter(w.pollInterval()), changed) {
				continue
			}
		}
		next, err := w.next(ctx, since, changed)
		if err == nil {
			since, delay = next, minBackoff
			if next == 0 {
				sleep(ctx, jitter(minBackoff), changed)
			}
			continue
		}
		w.Log.Debug().Err(err).Msg("config: cannot read the document from the platform's store")
		var limited *platform.RateLimited
		if errors.As(err, &limited) {
			delay = max(delay, min(limited.RetryAfter, maxBackoff))
		}
		sleep(ctx, jitter(delay), changed)
		delay = min(2*delay, maxBackoff)
		since = 0 // read the document again, because it may have changed since the last watch
	}
}

// Refresh reads the document once, also while the watcher is disabled.
func (w *Watcher) Refresh(ctx context.Context) error {
	_, err := w.read(ctx)
	return err
}

// next reads the document if since is 0, and otherwise waits for a change after that version. It returns the version to watch
// from, or 0 if there is no document yet.
func (w *Watcher) next(ctx context.Context, since uint64, changed <-chan struct{}) (uint64, error) {
	if since == 0 {
		return w.read(ctx)
	}
	wait := w.WatchTimeout
	if wait == 0 {
		wait = 5 * clock.Second
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed: // disabled: release the connection at once
			cancel()
		case <-ctx.Done():
		}
	}()
	asked := w.Store.Clock.Now()
	l, err := w.Client.Watch(ctx, Kind, since, wait)
	if err != nil {
		return 0, err
	}
	w.Store.PlatformAnswered(asked)
	for _, o := range l.Items {
		// A deleted document is a mistake of an operator and must not stop the service, so the last one stays in force.
		if o.Name == Name && !o.Deleted {
			w.offer(o)
		}
		l.Version = max(l.Version, o.Version)
	}
	return max(since, l.Version), nil
}

func (w *Watcher) read(ctx context.Context) (uint64, error) {
	asked := w.Store.Clock.Now()
	o, err := w.Client.Get(ctx, Kind, Name)
	if errors.Is(err, platform.ErrNotFound) {
		w.Store.PlatformAnswered(asked)
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	w.Store.PlatformAnswered(asked)
	w.offer(o)
	w.Store.Confirm(o.Version, asked)
	return o.Version, nil
}

// offer passes the document to the Store, which logs refused documents.
func (w *Watcher) offer(o platform.Object) {
	_, _ = w.Store.Offer(o.Value, o.Version)
}

// state returns whether the watcher is enabled, and a channel that is closed when that changes.
func (w *Watcher) state() (on bool, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.enabled, w.signal()
}

// signal returns the channel that is closed at the next change of enabled. The lock must be held.
func (w *Watcher) signal() chan struct{} {
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

// jitter returns a random span between 0.5 and 1.5 times s, so that VMs that lost the platform's store at the same time do not
// retry at the same time.
func jitter(s clock.Span) clock.Span {
	return s/2 + clock.Span(rand.Int64N(int64(s)+1))
}

func (w *Watcher) pollInterval() clock.Span {
	if w.PollInterval == 0 {
		return defaultPollInterval
	}
	return w.PollInterval
}

// sleep waits for s. It reports whether wake or the end of ctx ended the wait early.
func sleep(ctx context.Context, s clock.Span, wake <-chan struct{}) bool {
	t := time.NewTimer(s.Std())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return true
	case <-wake:
		return true
	case <-t.C:
		return false
	}
}

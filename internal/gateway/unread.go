package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"shallotrun/core/clock"
)

const (
	// unreadLimit is the time for which a caller's connection has accepted nothing more before its answer may be ended for the memory.
	// Shorter stalls are usual on a crowded link.
	unreadLimit = 2 * clock.Second
	// eventWait is how long a large event waits for memory. It is below the pauses between events that routes allow.
	eventWait = 500 * clock.Millisecond
	// Piece is the number of bytes of a large body that are handed to a caller's connection at a time, so that its progress is seen.
	Piece = 64 << 10
)

// holder is an answer for which memory is reserved until its caller has read it.
type holder struct {
	x      *exchange
	sem    *semaphore.Weighted
	huge   *semaphore.Weighted // the bytes are reserved there too, nil for none
	bytes  int64               // reserved
	stream bool
	ended  bool // its caller's connection was closed to free the memory

	unread atomic.Int64 // bytes that the caller's connection has not accepted yet
	since  atomic.Int64 // time at which it was offered the next ones, 0 while it is offered none
}

// offer records that the caller's connection is offered bytes of the answer, of which unread are left with these.
func (h *holder) offer(now clock.Time, unread int) {
	h.unread.Store(int64(unread))
	h.since.Store(int64(now))
}

// readsSlowly reports whether the caller has accepted nothing for unreadLimit, and in the time that it has left would not get the whole
// answer at this rate. What it has left of a stream is not known.
func (h *holder) readsSlowly(now clock.Time) bool {
	since, unread := h.since.Load(), h.unread.Load()
	if since == 0 {
		return false
	}
	waited := now.Sub(clock.Time(since))
	if waited < unreadLimit {
		return false
	}
	pieces := (unread + Piece - 1) / Piece
	return h.stream || pieces*int64(waited) > int64(h.x.timeLeft(now))
}

// holders are the answers that hold reserved memory, and the memory that others wait for.
type holders struct {
	mu      sync.Mutex
	all     map[*holder]struct{}
	waiting map[*semaphore.Weighted]int64 // bytes
}

// add adds an answer to the holders.
func (m *holders) add(h *holder) *holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all == nil {
		m.all = make(map[*holder]struct{})
	}
	m.all[h] = struct{}{}
	return h
}

// keep releases what a holder has reserved beyond bytes, and removes it if it keeps none.
func (m *holders) keep(h *holder, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rest := h.bytes - bytes; rest > 0 {
		h.bytes = bytes
		h.sem.Release(rest)
		if h.huge != nil {
			h.huge.Release(rest)
		}
	}
	if bytes == 0 {
		delete(m.all, h)
	}
}

// acquire reserves memory, and waits until ctx ends if it is used up.
func (m *holders) acquire(ctx context.Context, sem *semaphore.Weighted, need int64) error {
	if sem.TryAcquire(need) {
		return nil
	}
	m.addWaiting(sem, need)
	defer m.addWaiting(sem, -need)
	if sem.Acquire(ctx, need) != nil {
		return errNoMemory
	}
	return nil
}

func (m *holders) addWaiting(sem *semaphore.Weighted, need int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting == nil {
		m.waiting = make(map[*semaphore.Weighted]int64)
	}
	m.waiting[sem] += need
}

// makeRoom ends answers whose callers read slowly, until as much memory is freed as others wait for. It begins with those that have held
// most for longest. The lock is held meanwhile: an answer that has not released its memory has not ended, so its connection does not serve
// the next request yet.
func (m *holders) makeRoom(now clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for sem, need := range m.waiting {
		if need <= 0 {
			continue
		}
		var slow []*holder
		for h := range m.all {
			switch {
			case h.sem != sem && h.huge != sem:
			case h.ended:
				need -= h.bytes
			case h.readsSlowly(now):
				slow = append(slow, h)
			}
		}
		slices.SortFunc(slow, func(a, b *holder) int { return cmp.Compare(b.weight(now), a.weight(now)) })
		for _, h := range slow {
			if need <= 0 {
				break
			}
			need -= h.bytes
			h.end(now)
		}
	}
}

// weight is the memory that an answer holds, times the time for which its caller has accepted nothing.
func (h *holder) weight(now clock.Time) int64 {
	return h.bytes * int64(now.Sub(clock.Time(h.since.Load())))
}

// end closes the connection of the caller, which cannot take the shortened answer for a whole one.
func (h *holder) end(now clock.Time) {
	h.ended = true
	x := h.x
	x.unreadEnded.Store(true)
	x.g.metrics.unreadEnded.Inc()
	x.g.Log.Warn().Str("request", x.request.ID).Int64("held_bytes", h.bytes).Int64("unread_bytes", h.unread.Load()).Bool("stream", h.stream).
		Int64("unread_ms", int64(now.Sub(clock.Time(h.since.Load())))).Int64("ms", int64(now.Sub(x.arrived))).
		Msg("gateway: answer ended: its caller reads too slowly, and other answers wait for the memory")
	if x.request.EndCaller != nil {
		x.request.EndCaller()
	}
}

// reserve reserves memory for a large event. The returned function releases what is reserved beyond a number of bytes.
func (x *exchange) reserve(bytes int64) (keep func(bytes int64), ok bool) {
	m := x.g.bodyMemory
	ctx, cancel := context.WithTimeout(context.Background(), min(eventWait, max(x.timeLeft(x.g.Clock.Now()), clock.Millisecond)).Std())
	defer cancel()
	if m.acquire(ctx, m.sem, bytes) != nil {
		return nil, false
	}
	h := m.add(&holder{x: x, sem: m.sem, bytes: bytes, stream: true})
	x.largeEvent = h
	return func(bytes int64) {
		m.keep(h, bytes)
		if bytes == 0 && x.largeEvent == h {
			x.largeEvent = nil
		}
	}, true
}

// Unread records that the caller is offered the rest of the body, of which unread bytes are left.
func (w *Buffered) Unread(unread int) {
	if w.holder != nil {
		w.holder.offer(w.holder.x.g.Clock.Now(), unread)
	}
}

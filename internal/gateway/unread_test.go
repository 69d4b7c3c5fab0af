package gateway

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// Guards against answers whose callers hardly read, which keep the memory until the answers of sound callers fail, and against an answer
// that is ended although its caller reads it, nobody needs the memory, or another one holds more.
func TestSlowReadersAreEndedForOthers(t *testing.T) {
	const size = 1 << 20
	type reader struct {
		name   string
		bytes  int64
		unread int        // bytes
		waited clock.Span // since the caller accepted the last ones, 0 if the answer is still being read from the server
		left   clock.Span // until the deadline
		stream bool
	}
	for _, c := range []struct {
		name    string
		readers []reader
		need    int64 // that another answer waits for
		ended   []string
	}{
		{"nobody waits", []reader{{"a", size, size, 9000, 1000, false}}, 0, nil},
		{"the largest first", []reader{{"a", size / 4, size / 4, 3000, 100, false}, {"b", size / 2, size / 2, 3000, 100, false}}, size / 2, []string{"b"}},
		{"the one that has waited for longest", []reader{{"a", size / 2, size / 2, 3000, 100, false}, {"b", size / 2, size / 2, 4000, 100, false}}, size / 2, []string{"b"}},
		{"as many as needed", []reader{{"a", size / 2, size / 2, 3000, 100, false}, {"b", size / 2, size / 2, 4000, 100, false}}, size, []string{"a", "b"}},
		{"a caller that reads", []reader{{"a", size, size, 1900, 100, false}}, size, nil},
		{"one that gets the whole answer in time", []reader{{"a", size, size, 2000, 60_000, false}}, size, nil},
		{"one that does not", []reader{{"a", size, size, 2000, 20_000, false}}, size, []string{"a"}},
		{"a stream", []reader{{"a", size, 1000, 2000, 60_000, true}}, size, []string{"a"}},
		{"a slow server", []reader{{"a", size, size, 0, 100, true}}, size, nil},
	} {
		g, _ := startGateway(t, &fakeBackend{script: []step{{}}})
		m := newMemoryLimit(size / bodyMemoryFraction)
		now := g.Clock.Now()
		ended := make(map[string]bool)
		for _, r := range c.readers {
			x := &exchange{g: g, request: &Request{EndCaller: func() { ended[r.name] = true }}, deadline: now.Add(r.left)}
			h := m.add(&holder{x: x, sem: m.sem, bytes: r.bytes, stream: r.stream})
			assert.Check(t, m.sem.TryAcquire(r.bytes))
			if r.waited > 0 {
				h.offer(now.Add(-r.waited), r.unread)
			}
		}
		m.addWaiting(m.sem, c.need)
		m.makeRoom(now)
		m.makeRoom(now) // what was ended, but not yet released, counts
		assert.Equal(t, len(ended), len(c.ended), "%s: %v", c.name, ended)
		for _, name := range c.ended {
			assert.Check(t, ended[name], "%s: %v", c.name, ended)
		}
	}
}

// Guards against a stream that is ended although its caller reads it, only because a large event takes longer than the limit.
func TestStreamThatIsReadIsNotSlow(t *testing.T) {
	now := clock.NewManual(1000)
	g, _ := startGatewayAt(t, &fakeBackend{script: []step{{}}}, now)
	const event = 200 << 10
	h := &holder{stream: true, bytes: event}
	s := &Stream{x: &exchange{g: g, largeEvent: h}, buf: make([]byte, event)}
	h.offer(now.Now(), event)
	p := make([]byte, event/4)
	for range 4 {
		_, err := s.Read(p)
		assert.NilError(t, err)
		now.Advance(unreadLimit - 1)
		assert.Check(t, !h.readsSlowly(now.Now()))
	}
	now.Advance(1)
	assert.Check(t, h.readsSlowly(now.Now()), "the caller has accepted nothing for the whole limit")
}

// Guards against slow readers that are not ended while an answer waits for the memory.
func TestAnswerWaitsForNoSlowReader(t *testing.T) {
	const size = 1 << 20
	g, _ := startGateway(t, &fakeBackend{script: []step{{}}})
	m := g.bodyMemory
	long := g.Clock.Now().Add(-5 * clock.Second)
	for range m.size / size {
		_, h, err := m.read(t.Context(), bytes.NewReader(make([]byte, size)), size)
		assert.NilError(t, err)
		h.x = &exchange{g: g, request: &Request{EndCaller: func() { go m.keep(h, 0) }}}
		h.offer(long, size)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, _, err := m.read(ctx, bytes.NewReader(make([]byte, size)), size)
	assert.NilError(t, err)
	_, _, err = m.read(ctx, &failingReader{}, size)
	assert.Check(t, errors.Is(err, errBroken))
}

// Guards against bodies of several MiB whose callers read slowly, or that wait for each other, which keep out all answers over 64 KiB.
func TestHugeBodiesLeaveMemoryForLargeOnes(t *testing.T) {
	const size = 20 << 20
	m := newMemoryLimit(size / bodyMemoryFraction)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for range size / (4 << 20) {
		go func() { _, _, _ = m.read(ctx, bytes.NewReader(make([]byte, 4<<20)), 4<<20) }()
	}
	time.Sleep(50 * time.Millisecond) // until the first of them hold what they may, and the others wait
	_, _, err := m.read(ctx, bytes.NewReader(make([]byte, hugeBody)), hugeBody)
	assert.NilError(t, err)
}

// Guards against a stream that is ended for a caller who does not read, and whose log line says that the caller went away.
func TestEndOfUnreadStreamSaysWhy(t *testing.T) {
	for _, c := range []struct {
		gone bool
		want string
	}{{true, "caller-gone"}, {false, "caller-slow"}} {
		g, _ := startGateway(t, &fakeBackend{script: []step{{events: 1, stall: true}}})
		var log bytes.Buffer
		g.Log = zerolog.New(&log)
		r := newRequest("/stream/1")
		closed := false
		r.CallerGone = func() bool { return closed && c.gone }
		a, ok := g.Serve(r).(*Stream)
		assert.Assert(t, ok)
		closed = true // a write to the caller fails
		assert.NilError(t, a.Close())
		assert.Check(t, strings.Contains(log.String(), c.want), log.String())
	}
}

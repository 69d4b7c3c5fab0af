package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against large bodies that together take more memory than the limit, against one that is truncated to fit, and against
// memory that stays reserved after a body failed.
func TestBodyMemory(t *testing.T) {
	const size = 1 << 20
	body := func(n int) io.Reader { return bytes.NewReader(make([]byte, n)) }
	broken := func(n int) io.Reader { return io.MultiReader(body(n), &failingReader{}) }
	for _, c := range []struct {
		name   string
		body   io.Reader
		length int // -1 for unknown
		held   int64
		err    error
	}{
		{"none", body(0), 0, 0, nil},
		{"small", body(smallBody - 1), smallBody - 1, 0, nil},
		{"medium", body(smallBody), smallBody, 0, nil},
		{"medium without a length", body(mediumBody - 1), -1, 0, nil},
		{"the smallest large one without a length", body(mediumBody), -1, size - 1, nil},
		{"broken medium", broken(20 << 10), -1, 0, errBroken},
		{"large", body(600 << 10), 600 << 10, 600 << 10, nil},
		{"large without a length", body(600 << 10), -1, size, nil},
		{"announced as too large", body(10), size + 1, 0, errTooLarge},
		{"too large without a length", body(size + 1), -1, 0, errTooLarge},
		{"broken", broken(200 << 10), -1, 0, errBroken},
		{"all of the memory", body(size), size, size, nil},
	} {
		m := newMemoryLimit(size / bodyMemoryFraction)
		b, h, err := m.read(t.Context(), c.body, c.length)
		assert.Check(t, errors.Is(err, c.err), "%s: %v", c.name, err)
		if c.err == nil && c.length >= 0 {
			assert.Equal(t, len(b), c.length, c.name)
		}
		assert.Check(t, m.sem.TryAcquire(size-c.held), "%s: holds more than %d", c.name, c.held)
		m.sem.Release(size - c.held)
		if h != nil {
			m.keep(h, 0)
		}
		assert.Check(t, m.sem.TryAcquire(size) && m.medium.TryAcquire(size/4), "%s: memory stays reserved", c.name)
	}
}

var errBroken = errors.New("the connection broke")

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errBroken }

// Guards against a large body that does not wait for the memory of others, or keeps waiting after its request has ended.
func TestBodyMemoryIsWaitedFor(t *testing.T) {
	const size = 1 << 20
	m := newMemoryLimit(size / bodyMemoryFraction)
	first, h, err := m.read(t.Context(), bytes.NewReader(make([]byte, 700<<10)), 700<<10)
	assert.NilError(t, err)
	assert.Equal(t, len(first), 700<<10)
	ended, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _, err = m.read(ended, bytes.NewReader(make([]byte, 700<<10)), 700<<10)
	assert.Check(t, errors.Is(err, errNoMemory))
	done := make(chan int)
	go func() {
		b, h, _ := m.read(t.Context(), bytes.NewReader(make([]byte, 700<<10)), 700<<10)
		m.keep(h, 0)
		done <- len(b)
	}()
	select {
	case <-done:
		t.Fatal("the second answer did not wait")
	case <-time.After(50 * time.Millisecond):
	}
	m.keep(h, 0)
	assert.Equal(t, <-done, 700<<10)
}

// Guards against many bodies of medium size that together take more memory than the VM has, and against such bodies that wait for large
// ones.
func TestMediumBodiesStayWithinMemory(t *testing.T) {
	const memory, bodies, size = 16 << 20, 1000, 60 << 10
	m := newMemoryLimit(memory)
	_, large, err := m.read(t.Context(), bytes.NewReader(make([]byte, m.size)), int(m.size))
	assert.NilError(t, err)
	defer m.keep(large, 0)
	var held, most atomic.Int64
	var wg sync.WaitGroup
	for i := range bodies {
		wg.Go(func() {
			length := size
			if i%2 == 0 {
				length = -1
			}
			b, h, err := m.read(t.Context(), bytes.NewReader(make([]byte, size)), length)
			assert.Check(t, err == nil && len(b) == size, "%d %v", len(b), err)
			now := held.Add(size)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			time.Sleep(time.Millisecond)
			held.Add(-size)
			if h != nil {
				m.keep(h, 0)
			}
		})
	}
	wg.Wait()
	assert.Check(t, most.Load() <= memory/16, "%d bytes are held at the same time", most.Load())
	assert.Check(t, most.Load() > memory/32, "%d bytes are held at the same time", most.Load())
}

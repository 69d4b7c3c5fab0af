package gateway

import (
	"context"
	"errors"
	"io"

	"golang.org/x/sync/semaphore"

	"shallotrun/core/clock"
)

const (
	// maxBody is the size limit of an answer that is not a stream, in bytes.
	maxBody = 16 << 20
	// smallBody is the size up to which no memory is reserved for a body, in bytes. The number of open requests limits the sum of
	// such bodies.
	smallBody = 4 << 10
	// mediumBody is the size up to which a body has a memory of its own, so that it does not wait for large ones, in bytes.
	mediumBody = 64 << 10
	// bodyMemoryFraction is the fraction of the VM's memory that all large bodies and events together may use.
	bodyMemoryFraction = 0.25
	// mediumMemoryFraction is the fraction of the VM's memory that all medium bodies together may use.
	mediumMemoryFraction = 1.0 / 16
	// hugeBody is the size up to which a body finds memory that larger ones cannot use, in bytes: many of those, read slowly or waiting to
	// be read, would otherwise keep it out.
	hugeBody = 1 << 20
	// hugeMemoryFraction is the part of the memory of large bodies and events that all bodies over hugeBody together may use.
	hugeMemoryFraction = 0.75
	// defaultBodyMemory is the memory for large bodies and events if the VM's memory is not known, in bytes.
	defaultBodyMemory = 64 << 20
)

var (
	errTooLarge = errors.New("the answer is too large")
	errNoMemory = errors.New("no memory for the answer was free before the request ended")
)

// memoryLimit limits the memory of the bodies and events that are held at the same time. A body that does not fit is not read until
// others were sent to their callers, which holds back its server as well.
type memoryLimit struct {
	holders
	size   int64               // memory of large bodies and events, in bytes
	sem    *semaphore.Weighted // memory of large bodies and events
	huge   *semaphore.Weighted // the part of sem for bodies over hugeBody. A holder may wait for sem, a holder of sem never waits for it
	medium *semaphore.Weighted // memory of medium bodies. A holder may wait for sem, a holder of sem never waits for it
}

// newMemoryLimit returns the limit for a VM with the given memory in bytes, 0 if it is not known.
func newMemoryLimit(memory int64) *memoryLimit {
	size := int64(bodyMemoryFraction * float64(memory))
	if memory <= 0 {
		size = defaultBodyMemory
	}
	medium := max(int64(mediumMemoryFraction/bodyMemoryFraction*float64(size)), mediumBody)
	huge := max(int64(hugeMemoryFraction*float64(size)), min(maxBody, size)) // the largest body fits
	return &memoryLimit{size: size, sem: semaphore.NewWeighted(size), huge: semaphore.NewWeighted(huge), medium: semaphore.NewWeighted(medium)}
}

// read reads a body of a length in bytes, negative if it is not known. It returns the holder of the memory reserved for the
// body, nil if none was reserved.
func (m *memoryLimit) read(ctx context.Context, body io.Reader, length int) ([]byte, *holder, error) {
	most := min(maxBody, m.size)
	if int64(length) > most {
		return nil, nil, errTooLarge
	}
	head, err := io.ReadAll(io.LimitReader(body, smallBody))
	if err != nil || len(head) < smallBody {
		return head, nil, err
	}
	if length > mediumBody {
		return m.readReserved(ctx, m.sem, head, body, int64(length), length)
	}
	if length >= 0 {
		return m.readReserved(ctx, m.medium, head, body, int64(length), length)
	}
	b, h, err := m.readReserved(ctx, m.medium, head, io.LimitReader(body, mediumBody-smallBody), mediumBody, 2*smallBody)
	if err != nil || len(b) < mediumBody {
		return b, h, err
	}
	defer m.keep(h, 0)
	return m.readReserved(ctx, m.sem, b, body, most, 2*mediumBody)
}

// readReserved reserves memory for at most need bytes, reads the rest of a body after head, and returns the holder of what the body uses.
// expected is the size of the first buffer: the length of the body if it is known, else twice that of head.
func (m *memoryLimit) readReserved(
	ctx context.Context, sem *semaphore.Weighted, head []byte, body io.Reader, need int64, expected int,
) (_ []byte, _ *holder, _ error) {
	h := &holder{sem: sem, bytes: need}
	if need > hugeBody {
		if err := m.acquire(ctx, m.huge, need); err != nil {
			return nil, nil, err
		}
		h.huge = m.huge
	}
	if err := m.acquire(ctx, sem, need); err != nil {
		if h.huge != nil {
			h.huge.Release(need)
		}
		return nil, nil, err
	}
	m.add(h)
	b, err := readRest(head, body, need, expected)
	if err != nil {
		m.keep(h, 0)
		return nil, nil, err
	}
	m.keep(h, min(int64(cap(b)), need))
	return b, h, nil
}

// readRest reads the rest of a body after head, up to a total of most bytes. A buffer for the expected size is allocated at once: while one
// grows, the old one and the new one exist, which is more than the memory reserved for the body.
func readRest(head []byte, body io.Reader, most int64, expected int) ([]byte, error) {
	b := make([]byte, len(head), max(expected, len(head))+1) // with room to see the end
	copy(b, head)
	for {
		if len(b) == cap(b) {
			grown := make([]byte, len(b), min(2*int64(len(b)), most+1))
			copy(grown, b)
			b = grown
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > most:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// readBody reads the body of an answer that is not a stream.
func (x *exchange) readBody(reply *Reply) (*Buffered, error) {
	w := &Buffered{Status: reply.Status, Fields: reply.Fields}
	if reply.Body == nil {
		return w, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(x.timeLeft(x.g.Clock.Now()), clock.Millisecond).Std())
	defer cancel()
	x.mu.Lock()
	x.cancel = cancel
	x.mu.Unlock()
	var err error
	w.Body, w.holder, err = x.g.bodyMemory.read(ctx, reply.Body, reply.Length)
	x.mu.Lock()
	x.cancel = nil
	x.mu.Unlock()
	if w.holder != nil {
		w.holder.x = x
	}
	return w, err
}

// Release releases the memory reserved for the body. It is called once, after the body was sent to the caller.
func (w *Buffered) Release() {
	if w.holder != nil {
		w.holder.x.g.bodyMemory.keep(w.holder, 0)
		w.holder = nil
	}
}

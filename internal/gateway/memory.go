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
	// smallBody is the size below which no memory is reserved for a body, in bytes. The number of open requests limits the sum of
	// such bodies.
	smallBody = 64 << 10
	// bodyMemoryFraction is the fraction of the VM's memory that all large bodies and events together may use.
	bodyMemoryFraction = 0.25
	// defaultBodyMemory is the memory for large bodies and events if the VM's memory is not known, in bytes.
	defaultBodyMemory = 64 << 20
)

var (
	errTooLarge = errors.New("the answer is too large")
	errNoMemory = errors.New("no memory for a large answer was free before the request ended")
)

// memoryLimit limits the memory of the large bodies and events that are held at the same time. A body that does not fit is not read until
// others were sent to their callers, which holds back its server as well.
type memoryLimit struct {
	size int64
	sem  *semaphore.Weighted
}

// newMemoryLimit returns the limit for a VM with the given memory in bytes, 0 if it is not known.
func newMemoryLimit(memory int64) *memoryLimit {
	size := int64(bodyMemoryFraction * float64(memory))
	if memory <= 0 {
		size = defaultBodyMemory
	}
	return &memoryLimit{size: size, sem: semaphore.NewWeighted(size)}
}

// try reserves bytes until release is called. It returns false if so many are not free.
func (m *memoryLimit) try(bytes int64) (release func(), ok bool) {
	if !m.sem.TryAcquire(bytes) {
		return nil, false
	}
	return func() { m.sem.Release(bytes) }, true
}

// read reads a body of a length in bytes, negative if it is not known. It returns the function that releases the memory reserved
// for the body, nil if none was reserved.
func (m *memoryLimit) read(ctx context.Context, body io.Reader, length int) ([]byte, func(), error) {
	most := min(maxBody, m.size)
	if int64(length) > most {
		return nil, nil, errTooLarge
	}
	head, err := io.ReadAll(io.LimitReader(body, smallBody))
	if err != nil || len(head) < smallBody {
		return head, nil, err
	}
	need := most
	if length >= 0 {
		need = int64(length)
	}
	if m.sem.Acquire(ctx, need) != nil {
		return nil, nil, errNoMemory
	}
	b, err := readRest(head, body, need)
	if err != nil {
		m.sem.Release(need)
		return nil, nil, err
	}
	rest := need - int64(cap(b))
	m.sem.Release(max(rest, 0))
	return b, func() { m.sem.Release(need - max(rest, 0)) }, nil
}

// readRest reads the rest of a body after head, up to a total of most bytes.
func readRest(head []byte, body io.Reader, most int64) ([]byte, error) {
	b := make([]byte, len(head), 2*len(head))
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
	w.Body, w.release, err = x.g.bodyMemory.read(ctx, reply.Body, reply.Length)
	x.mu.Lock()
	x.cancel = nil
	x.mu.Unlock()
	return w, err
}

// Release releases the memory reserved for the body. It is called once, after the body was sent to the caller.
func (w *Buffered) Release() {
	if w.release != nil {
		w.release()
		w.release = nil
	}
}

package gateway

import (
	"context"
	"errors"
	"io"

	"golang.org/x/sync/semaphore"

	"shallotrun/core/clock"
)

const (
	// maxWhole is the size limit of an answer that is no stream, in bytes.
	maxWhole = 16 << 20
	// smallWhole is the size up to which an answer needs no room of its own, in bytes. The number of open requests bounds the
	// sum of these.
	smallWhole = 64 << 10
	// roomPart is the part of the VM's memory that large answers may take together.
	roomPart = 0.25
	// defaultRoom is the room where the VM's memory is not known, in bytes.
	defaultRoom = 64 << 20
)

var (
	errTooLarge = errors.New("the answer is too large")
	errNoRoom   = errors.New("large answers of other requests took the room until the time was over")
)

// room bounds the memory of the large answers that are held at once. An answer that does not fit waits until others
// were passed on; its server waits with it.
type room struct {
	size int64
	free *semaphore.Weighted
}

// newRoom returns the room of a VM with an amount of memory in bytes, 0 for an unknown one.
func newRoom(memory int64) *room {
	size := int64(roomPart * float64(memory))
	if memory <= 0 {
		size = defaultRoom
	}
	return &room{size: size, free: semaphore.NewWeighted(size)}
}

// read reads a body of a length in bytes, negative if it is not known. What it took of the room is given back by the
// function that it returns, which is nil if that is nothing.
func (m *room) read(ctx context.Context, body io.Reader, length int) ([]byte, func(), error) {
	most := min(maxWhole, m.size)
	if int64(length) > most {
		return nil, nil, errTooLarge
	}
	head, err := io.ReadAll(io.LimitReader(body, smallWhole))
	if err != nil || len(head) < smallWhole {
		return head, nil, err
	}
	need := most
	if length >= 0 {
		need = int64(length)
	}
	if m.free.Acquire(ctx, need) != nil {
		return nil, nil, errNoRoom
	}
	b, err := readRest(head, body, need)
	if err != nil {
		m.free.Release(need)
		return nil, nil, err
	}
	rest := need - int64(cap(b))
	m.free.Release(max(rest, 0))
	return b, func() { m.free.Release(need - max(rest, 0)) }, nil
}

// readRest reads a body, of which the head was read, up to a size in bytes.
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

// whole reads the body of an answer that is no stream.
func (x *exchange) whole(reply *Reply) (*Whole, error) {
	w := &Whole{Status: reply.Status, Fields: reply.Fields}
	if reply.Body == nil {
		return w, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(x.end.Sub(x.g.Clock.Now()), clock.Millisecond).Std())
	defer cancel()
	x.mu.Lock()
	x.cancel = cancel
	x.mu.Unlock()
	var err error
	w.Body, w.release, err = x.g.room.read(ctx, reply.Body, reply.Length)
	x.mu.Lock()
	x.cancel = nil
	x.mu.Unlock()
	return w, err
}

// Release gives the memory of the body back once it was passed on. It is called once.
func (w *Whole) Release() {
	if w.release != nil {
		w.release()
		w.release = nil
	}
}

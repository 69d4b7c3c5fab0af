package caller

import (
	"math/bits"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"shallotrun/core/clock"
)

const (
	// smallBody is the size up to which no memory is reserved for a body, in bytes. The number of open connections limits the sum of
	// such bodies.
	smallBody = 4 << 10
	// smallChunked is the size of a body in chunks for which half of the memory is kept, in bytes.
	smallChunked = 2 * smallBody
	// mediumBody is the size up to which a body of known length may use more memory than larger ones, in bytes: servers that read large
	// bodies slowly would otherwise keep it out.
	mediumBody = 64 << 10
	// mediumFraction is the size of that additional memory, as a part of the memory for all bodies.
	mediumFraction = 1.0 / 8
	// defaultBodyMemory is the memory for bodies if the server's BodyMemory is not set, in bytes.
	defaultBodyMemory = 64 << 20
	// memoryRetry is the time after which a caller may send a body again for which no memory was free.
	memoryRetry = clock.Second
)

// bodyMemory limits the memory of the request bodies that are received and held at the same time. Memory is reserved before a body is
// read, because fasthttp allocates a body of known length as soon as its header has arrived.
//
// A reservation belongs to the connection whose request header is its key: fasthttp uses one header for all requests of a connection. It
// is released when the request ends. If a body breaks off, no part of the server may learn of it; the reservation then ends with the next
// request of that header, or when the time for reading the body is over.
type bodyMemory struct {
	idHeader string               // header with the identifier of a request, "" for none
	maxBody  func() int           // largest body, in bytes
	timeout  func() time.Duration // time within which a body arrives
	total    int64                // memory for bodies, in bytes

	mu   sync.Mutex
	free int64 // of total, below 0 if medium bodies use the additional memory
	held map[*fasthttp.RequestHeader]*reservation
}

// reservation is the memory that one request may use for its body.
type reservation struct {
	id      string // identifier of a request with a body in chunks
	bytes   int64
	limited bool      // the body may be smaller than the largest one only because memory is used up
	claimed bool      // the body has arrived
	expires time.Time // the body has arrived or broken off by then
}

// admit reserves memory for the body that a header announces, and returns the largest size with which the body is read. It is
// fasthttp's HeaderReceived.
func (m *bodyMemory) admit(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(h)
	n, maxBody := h.ContentLength(), m.maxBody()
	if n > maxBody || n <= smallBody && n != chunkedBody {
		return fasthttp.RequestConfig{MaxRequestBodySize: maxBody}
	}
	r := &reservation{expires: time.Now().Add(m.timeout())}
	m.held[h] = r
	if n != chunkedBody {
		need := allocated(n)
		var more int64
		if n <= mediumBody {
			more = int64(mediumFraction * float64(m.total))
		}
		if r.limited = !m.reserve(r, need, more); r.limited {
			return fasthttp.RequestConfig{MaxRequestBodySize: 1}
		}
		return fasthttp.RequestConfig{MaxRequestBodySize: maxBody}
	}
	r.id = string(h.Peek(m.idHeader))
	// While a buffer grows, the old one and the new one exist.
	m.sweep()
	most := m.chunkedLimit(maxBody)
	if !m.reserve(r, 2*most, 0) {
		r.limited = true
		return fasthttp.RequestConfig{MaxRequestBodySize: smallBody}
	}
	r.limited = most < int64(maxBody)
	return fasthttp.RequestConfig{MaxRequestBodySize: int(min(most, int64(maxBody)))}
}

// chunkedLimit returns the size up to which the next body in chunks may grow. How large it will be is not known, so the first ones may be
// large, but they use at most half of the memory: bodies that arrive slowly, or not at all, must not keep small ones out. One that arrives
// alone may use all of that half, as a limit that the memory allows for must not refuse it each time.
func (m *bodyMemory) chunkedLimit(maxBody int) int64 {
	share := (m.free - m.total/2) / 4
	if m.free == m.total {
		share = m.total / 4 // twice as much is reserved
	}
	return min(allocated(maxBody), max(smallChunked, share))
}

// chunkedBody is fasthttp's ContentLength of a body in chunks.
const chunkedBody = -1

// allocated returns a bound on the size of the buffer for a body of n bytes, as fasthttp rounds it up to a power of two.
func allocated(n int) int64 { return int64(1) << bits.Len64(uint64(max(n-1, 0))) }

// reserve adds bytes to a reservation. It returns false if they exceed the free memory and more, which this body may use beyond it.
func (m *bodyMemory) reserve(r *reservation, bytes, more int64) bool {
	if bytes > m.free+more {
		m.sweep()
	}
	if bytes > m.free+more {
		return false
	}
	m.free -= bytes
	r.bytes += bytes
	return true
}

// sweep removes the reservations of bodies that broke off.
func (m *bodyMemory) sweep() {
	now := time.Now()
	for h, r := range m.held {
		if !r.claimed && now.After(r.expires) {
			m.remove(h)
		}
	}
}

func (m *bodyMemory) remove(h *fasthttp.RequestHeader) {
	if r := m.held[h]; r != nil {
		m.free += r.bytes
		delete(m.held, h)
	}
}

// claim keeps the part of a request's reservation that its body uses until the request ends.
func (m *bodyMemory) claim(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.held[h]
	if r == nil {
		return
	}
	r.claimed = true
	if unused := r.bytes - int64(cap(ctx.Request.Body())); unused > 0 {
		m.free += unused
		r.bytes -= unused
	}
	ctx.SetUserValue(releaseKey{}, release{m, h})
}

// releaseKey is the key of the user value that releases the memory of a request.
type releaseKey struct{}

// release is a user value of a request. fasthttp closes it after the answer was written, or when the connection breaks.
type release struct {
	memory *bodyMemory
	header *fasthttp.RequestHeader
}

// Close releases the memory of the request.
func (r release) Close() error {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.remove(r.header)
	return nil
}

// fail releases the memory of a request whose body could not be read, and reports whether a body that was too large was so only because
// memory is used up. It restores the identifier in the header, which fasthttp clears if a body in chunks fails.
func (m *bodyMemory) fail(h *fasthttp.RequestHeader) (exhausted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.held[h]
	if r == nil {
		return false
	}
	m.remove(h)
	if r.id != "" {
		h.Set(m.idHeader, r.id)
	}
	return r.limited
}

// TakeBody returns the body of a request, which stays valid after the handler has returned. It must be called once, and the request has no
// body afterwards.
func TakeBody(ctx *fasthttp.RequestCtx) []byte {
	if b := ctx.PostBody(); len(b) <= smallBody {
		return append([]byte(nil), b...)
	}
	return ctx.Request.SwapBody(nil)
}

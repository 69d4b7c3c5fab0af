package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"shallotrun/core/clock"
)

// testServer is a server that answers with the length of the body. If that is not small, the handler waits until the test lets it.
type testServer struct {
	*Server
	addr    string
	waiting chan struct{} // one for each request that has reached the handler
	answer  chan struct{} // lets one of them answer
}

func newTestServer(t *testing.T, memory int64, readTimeout clock.Span) *testServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan struct{})
	s := &testServer{addr: ln.Addr().String(), waiting: make(chan struct{}, 1000), answer: make(chan struct{}, 1000)}
	s.Server = &Server{
		Listener: ln, MaxBody: 1 << 20, BodyMemory: memory, ReadTimeout: readTimeout, IDHeader: "Id", Linger: 1,
		Handler: func(ctx *fasthttp.RequestCtx) {
			b := TakeBody(ctx)
			if len(b) > smallBody {
				s.waiting <- struct{}{}
				select {
				case <-s.answer:
				case <-ended:
				}
			}
			_, _ = ctx.WriteString(fmt.Sprint(len(b)))
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() { close(ended); cancel(); <-done })
	return s
}

// wait returns when n more requests have reached the handler.
func (s *testServer) wait(t *testing.T, n int) {
	timeout := time.After(30 * time.Second)
	for i := range n {
		select {
		case <-s.waiting:
		case <-timeout:
			t.Fatalf("only %d of %d requests have reached the handler", i, n)
		}
	}
}

// used returns the memory that is reserved.
func (s *testServer) used(size int64) int64 {
	s.bodies.mu.Lock()
	defer s.bodies.mu.Unlock()
	s.bodies.sweep()
	return size - s.bodies.free
}

// send sends a request with a body of n bytes on a new connection and returns the answer, whose Body is read.
func (s *testServer) send(t *testing.T, n int, chunked bool) (status int, header http.Header, body string) {
	c, err := net.Dial("tcp", s.addr)
	assert.Check(t, err == nil)
	defer c.Close() //nolint:errcheck // a caller's connection
	go func() { _, _ = io.WriteString(c, request(n, chunked)) }()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if !assert.Check(t, err == nil, "%v", err) {
		return 0, nil, ""
	}
	b, err := io.ReadAll(r.Body)
	assert.Check(t, err == nil, "%v", err)
	return r.StatusCode, r.Header, string(b)
}

// request returns a request with a body of n bytes.
func request(n int, chunked bool) string {
	body := strings.Repeat("x", n)
	if !chunked {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nId: 7\r\nContent-Length: %d\r\n\r\n%s", n, body)
	}
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		k := min(len(body), 10_000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", k, body[:k])
		body = body[k:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// Guards against a server that holds more large bodies than its memory allows, and against a memory that is not free again after answers.
func TestBodiesStayWithinMemory(t *testing.T) {
	const memory = 4 << 20
	s := newTestServer(t, memory, 0)
	for range 3 {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				status, _, body := s.send(t, 1<<20, false)
				assert.Check(t, status == 200 && body == fmt.Sprint(1<<20), "%d %s", status, body)
			})
		}
		s.wait(t, 4)
		assert.Equal(t, s.used(memory), int64(memory))
		for _, c := range []struct {
			name    string
			size    int
			chunked bool
			status  int
		}{
			{"large", 1 << 20, false, 503},
			{"large, in chunks", 1 << 20, true, 503},
			{"small", smallBody, false, 200},
			{"small, in chunks", smallBody, true, 200},
			{"too large", 1<<20 + 1, false, 413},
		} {
			status, h, body := s.send(t, c.size, c.chunked)
			assert.Check(t, status == c.status, "%s: %d %s", c.name, status, body)
			assert.Check(t, (h.Get("Retry-After") != "") == (c.status == 503), "%s: %v", c.name, h)
			assert.Check(t, c.status != 503 || strings.Contains(body, `"ran":"not run"`), "%s: %s", c.name, body)
			if t.Failed() {
				break
			}
		}
		for range 4 {
			s.answer <- struct{}{}
		}
		wg.Wait()
		for end := time.Now().Add(5 * time.Second); s.used(memory) != 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%d bytes are still reserved", s.used(memory))
		}
	}
}

// Guards against callers of small bodies in chunks that are refused while few bodies arrive, as the size of such a body is not known before.
func TestChunkedBodiesArriveTogether(t *testing.T) {
	const memory, callers = 4 << 20, 100
	s := newTestServer(t, memory, 0)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			status, _, body := s.send(t, 8_000, true)
			assert.Check(t, status == 200, "%d %s", status, body)
		})
	}
	s.wait(t, callers)
	assert.Check(t, s.used(memory) <= callers*16_384, "%d", s.used(memory))
	for range callers {
		s.answer <- struct{}{}
	}
	wg.Wait()
}

// Guards against small bodies in chunks that are refused because slow callers, who have sent no byte of theirs, hold all of the memory.
func TestSlowChunkedBodiesLeaveMemory(t *testing.T) {
	const memory, callers = 4 << 20, 50
	s := newTestServer(t, memory, 0)
	for i := range callers {
		c, err := net.Dial("tcp", s.addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		assert.NilError(t, err)
		s.answer <- struct{}{}
		status, _, body := s.send(t, 8_000, true)
		assert.Assert(t, status == 200, "with %d slow callers: %d %s", i+1, status, body)
	}
}

// Guards against memory that stays reserved for good after a body was broken off, at any byte and in any framing.
func TestBrokenBodiesReleaseMemory(t *testing.T) {
	const memory, cuts = 4 << 20, 300
	const seed = 38
	random := rand.New(rand.NewPCG(seed, 1))
	s := newTestServer(t, memory, 500*clock.Millisecond)
	for range cuts {
		s.answer <- struct{}{}
	}
	for range cuts {
		text := request(5_000+random.IntN(100_000), random.IntN(2) == 0)
		c, err := net.Dial("tcp", s.addr)
		assert.NilError(t, err)
		_, err = io.WriteString(c, text[:random.IntN(len(text))])
		assert.NilError(t, err)
		if random.IntN(4) == 0 {
			assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
		}
		assert.NilError(t, c.Close())
	}
	for end := time.Now().Add(5 * time.Second); s.used(memory) != 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are still reserved", s.used(memory))
	}
}

// Guards against small uploads that are refused for as long as servers do not read the large ones that use up the memory.
func TestLargeBodiesLeaveMemoryForMediumOnes(t *testing.T) {
	const memory = 4 << 20
	s := newTestServer(t, memory, 0)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { s.send(t, 1<<20, false) })
	}
	s.wait(t, 4)
	for range memory / 8 / mediumBody {
		wg.Go(func() {
			status, _, _ := s.send(t, mediumBody, false)
			assert.Check(t, status == 200, "%d", status)
		})
	}
	s.wait(t, memory/8/mediumBody)
	status, _, _ := s.send(t, mediumBody, false)
	assert.Equal(t, status, 503, "the memory has no bound")
	for range 4 + memory/8/mediumBody {
		s.answer <- struct{}{}
	}
	wg.Wait()
	for end := time.Now().Add(5 * time.Second); s.used(memory) != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes stay reserved", s.used(memory))
	}
}

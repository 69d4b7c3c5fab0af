package caller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// Guards against a head whose end is not seen, wherever it is cut, so that the time for heads would end its body.
func TestHeadScanner(t *testing.T) {
	for _, c := range []struct {
		text string
		size int // of the head, 0 if it has no end
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\nbody\r\n\r\n", 27},
		{"GET / HTTP/1.1\nHost: x\n\nbody", 24},
		{"\r\n\r\nGET / HTTP/1.1\r\n\r\n", 22},
		{"GET / HTTP/1.1\r\n\r\n", 18},
		{"GET / HTTP/1.1\r\nHost: x\r\n", 0},
		{"\r\n\r\n\r\n", 0},
		{"GET /", 0},
	} {
		for cut := range len(c.text) + 1 {
			var h headScanner
			h.add([]byte(c.text[:cut]))
			h.add([]byte(c.text[cut:]))
			assert.Equal(t, h.done, c.size > 0, "%q cut at %d", c.text, cut)
			if h.done {
				assert.Equal(t, h.size, c.size, fmt.Sprintf("%q cut at %d", c.text, cut))
			}
		}
	}
}

// Guards against memory that stays reserved for good after a large head was served, refused or broken off at any byte.
func TestLargeHeadsReleaseMemory(t *testing.T) {
	const memory, requests = 4 << 20, 200
	const seed = 52
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seeded test
	s := newTestServer(t, memory, 500*clock.Millisecond)
	s.SetLimits(catalog.Limits{Header: 100_000})
	for range requests {
		s.answer <- struct{}{}
	}
	for range requests {
		text := strings.Replace(request(random.IntN(20_000), random.IntN(2) == 0), "Id: 7", "Id: 7\r\nLong: "+strings.Repeat("h", random.IntN(120_000)), 1)
		if random.IntN(2) == 0 {
			text = text[:random.IntN(len(text))]
		}
		c, err := net.Dial("tcp", s.addr)
		assert.NilError(t, err)
		_, _ = io.WriteString(c, text) // it fails once the request is refused
		if random.IntN(4) == 0 {
			assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
		}
		assert.NilError(t, c.Close())
	}
	for end := time.Now().Add(5 * time.Second); s.used(memory) != 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are still reserved", s.used(memory))
	}
}

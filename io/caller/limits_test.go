package caller

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shallotrun/core/catalog"
	"shallotrun/core/clock"
)

// Guards against limits that overflow, as a VM would then reserve nothing for a body and allocate all of it, or end every connection at once.
func TestLimitsThatAreOutOfRange(t *testing.T) {
	const memory = 4 << 20
	for _, c := range []struct {
		limits     catalog.Limits
		head, body int
		arrive     time.Duration
		idle       time.Duration
	}{
		{catalog.Limits{}, HeaderLimit, 1 << 20, 30 * time.Second, 60 * time.Second},
		{catalog.Limits{Header: -1, Body: -1, Arrive: -1, Idle: -1}, HeaderLimit, 1 << 20, 30 * time.Second, 60 * time.Second},
		{catalog.Limits{Header: 1, Body: 1, Arrive: 1, Idle: 1}, 1, 1, time.Millisecond, time.Millisecond},
		{
			catalog.Limits{Header: math.MaxInt, Body: math.MaxInt, Arrive: math.MaxInt64, Idle: math.MaxInt64},
			math.MaxInt, maxBodyLimit, maxTimeout.Std(), maxTimeout.Std(),
		},
	} {
		s := newTestServer(t, memory, 0)
		s.SetLimits(c.limits)
		assert.Equal(t, s.headLimit(), c.head)
		assert.Equal(t, s.bodyLimit(), c.body)
		assert.Equal(t, s.headTimeout(), c.arrive)
		assert.Equal(t, s.idleTimeout(), c.idle)
	}
	s := newTestServer(t, memory, clock.Second)
	s.SetLimits(catalog.Limits{Body: math.MaxInt})
	status, _, _ := s.send(t, 8<<20, true)
	assert.Equal(t, status, 503)
	c, err := net.Dial("tcp", s.addr)
	assert.NilError(t, err)
	defer c.Close() //nolint:errcheck // a caller's connection
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000000000000000\r\n\r\n")
	assert.NilError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, 413)
}

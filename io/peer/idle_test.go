package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection without heartbeats that is closed as silent, and against one that outlives the
// end of its transport because the peer keeps it alive.
func TestIdleConnectionStaysAndStops(t *testing.T) {
	a, _ := vm(t, "a", "k")
	b, addr := vm(t, "b", "k")
	a.Connect("b", addr)
	until(t, "connected", func() bool { return a.Reachable("b") && b.Reachable("a") })
	time.Sleep(2 * a.silence())
	assert.Equal(t, a.Handler.(*echo).count(), 1)
	a.Disconnect("b")
	until(t, "ended", func() bool { return !b.Reachable("a") })
	a.Seed(addr)
	until(t, "reached by name", func() bool { return a.Reachable("b") })
}

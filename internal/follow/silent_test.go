package follow

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections to the port for peers that send nothing and hold a descriptor for good, and against a bound on them that ends
// the connections of peers.
func TestSilentConnectionsToPeersEnd(t *testing.T) {
	t.Parallel()
	s := newStore()
	all := fleet(t, s, "a", "b")
	waitFor(t, "one VM follows the other", func() bool { return all[0].following() != "" || all[1].following() != "" })
	c, err := net.Dial("tcp", s.addrs["a"])
	assert.NilError(t, err)
	defer c.Close() //nolint:errcheck // a connection of the test
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(3*upgradeTimeout.Std())))
	_, err = io.Copy(io.Discard, c)
	assert.NilError(t, err, "the connection is open")
	upstream := all[0].following() + all[1].following()
	time.Sleep(2 * upgradeTimeout.Std())
	assert.Equal(t, all[0].following()+all[1].following(), upstream)
}

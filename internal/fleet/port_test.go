package fleet

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// port returns a loopback port that was free.
func port(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

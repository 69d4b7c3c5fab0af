package platform

import (
	"errors"
	"net"
)

// dialFailed reports whether the connection was never made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

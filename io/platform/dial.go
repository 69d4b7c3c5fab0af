package platform

import (
	"errors"
	"net"
)

// dialFailed reports whether err means that no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

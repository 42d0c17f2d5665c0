package engine

import (
	"errors"
	"net"
)

// neverConnected reports whether an error happened before any byte could have
// been sent: the connection was never made.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

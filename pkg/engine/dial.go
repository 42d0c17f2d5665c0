package engine

import (
	"errors"
	"net"
)

// neverConnected reports whether the connection could not be established, so that
// no byte of the request was sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

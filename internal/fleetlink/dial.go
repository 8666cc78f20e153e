package fleetlink

import (
	"net"

	"github.com/go-faster/errors"
)

// isDialError reports whether the error occurred before the connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package fleetlink

import (
	"net"

	"github.com/go-faster/errors"
)

// isDial reports whether the error arose before a connection existed.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

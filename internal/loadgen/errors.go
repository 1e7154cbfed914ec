package loadgen

import (
	"errors"
	"fmt"
)

// ErrNoBackend reports that Options.Backends is empty.
var ErrNoBackend = errors.New("load: no backend is given, expected at least one loopback address")

// AddressError reports a backend whose address is not on loopback.
type AddressError struct {
	Address string // as given
}

// Error returns the address and the expected form.
func (e *AddressError) Error() string {
	return fmt.Sprintf("load: backend %q is not HOST:PORT with a loopback address", e.Address)
}

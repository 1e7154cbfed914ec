package loadgen

import (
	"errors"
	"fmt"
)

// ErrNoBackend says that a load has no backend to be sent to.
var ErrNoBackend = errors.New("load: no backend is named")

// AddressError names a backend whose address is not on loopback: load is sent to this machine alone.
type AddressError struct{ Address string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("load: %q is no loopback address: load goes to this machine alone", e.Address)
}

package dispatch

import (
	"errors"
	"fmt"
)

// ErrNoPolicy is the error of an override while no degradation policy is in force.
var ErrNoPolicy = errors.New("no degradation policy is in force")

// ErrNoQuotas is the error of a lease response where no fleet-wide quota is configured.
var ErrNoQuotas = errors.New("no fleet-wide quota is configured")

// UnknownTenantError reports a quota configuration with a tenant that the deployment does not have.
type UnknownTenantError struct {
	BudgetByTenant map[string]string // as configured
	Known          []string          // the deployment's tenants
}

func (e *UnknownTenantError) Error() string {
	return fmt.Sprintf("draw: %v has a tenant that the deployment does not have; its tenants are %v",
		e.BudgetByTenant, e.Known)
}

// PanicError reports a panic of the decision module.
type PanicError struct {
	Value any // that panic was called with
}

// Error returns the text of the panic's value; the log line names the event.
func (e *PanicError) Error() string { return fmt.Sprint(e.Value) }

// Unwrap returns the value of the panic if that is an error, such as a runtime.Error; otherwise nil.
func (e *PanicError) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

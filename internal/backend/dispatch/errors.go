package dispatch

import (
	"errors"
	"fmt"
)

// ErrNoPolicy is returned by OverrideLevel if no degradation policy is in force.
var ErrNoPolicy = errors.New("no degradation policy is in force")

// ErrNoQuotas is returned by ApplyQuotaResponse if no fleet-wide quota is configured.
var ErrNoQuotas = errors.New("no fleet-wide quota is configured")

// UnknownTenantError reports that a quota configuration names a tenant that the deployment does not have.
type UnknownTenantError struct {
	BudgetByTenant map[string]string // as configured: budget by tenant
	Known          []string          // the deployment's tenants
}

func (e *UnknownTenantError) Error() string {
	return fmt.Sprintf("quota: %v names a tenant that the deployment does not have; its tenants are %v",
		e.BudgetByTenant, e.Known)
}

// PanicError reports a panic of the decision module.
type PanicError struct {
	Value any // argument of panic
}

// Error returns the text of the panic's value. The event that the module was processing is logged separately.
func (e *PanicError) Error() string { return fmt.Sprint(e.Value) }

// Unwrap returns the panic's value if it is an error, such as a runtime.Error, and otherwise nil.
func (e *PanicError) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

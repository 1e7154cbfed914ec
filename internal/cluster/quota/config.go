// Package quota divides what a fleet may use among its backends. Config says what is limited; State, a pure state machine,
// says who holds how much of it under which lease; LeaseTracker says when a lease has surely expired.
//
// The package does no I/O and holds no clock. State is what the consensus library replicates: the same commands in the
// same order make the same state on every replica.
package quota

import (
	"fmt"
	"maps"
	"slices"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// Kind says what a limit counts.
type Kind string

// The kinds. A rate is divided into quotas that backends draw from; concurrency is held permit by permit, each by a name.
const (
	Rate        Kind = "rate"
	Concurrency Kind = "count"
)

// Division says how the part of a rate above the floors is divided.
type Division string

// The divisions. By demand is max-min fair: no backend gets more than its demand while another has less than its own.
const (
	DivideEvenly     Division = "even"
	DivideByCapacity Division = "capacity"
	DivideByDemand   Division = "demand"
)

// Limit is what a fleet may use of one thing, and how that is divided.
type Limit struct {
	Name        LimitName              `json:"name"`
	Kind        Kind                   `json:"kind"`
	Total       int64                  `json:"whole"`            // units a second, or units held at once
	Floors      map[InstanceName]int64 `json:"floors,omitempty"` // by backend; names every backend that may draw from a rate
	Division    Division               `json:"divide,omitempty"`
	Weights     map[InstanceName]int64 `json:"weight,omitempty"` // by backend, where it is divided by capacity; 1 for those not named
	Step        int64                  `json:"step,omitempty"`   // the smallest part that is moved
	Lease       monotime.Micros        `json:"lease_us,omitempty"`
	ClockMargin monotime.Micros        `json:"margin_us,omitempty"` // how far clocks may run apart over one lease
	Tenant      string                 `json:"tenant,omitempty"`    // whose requests draw
	Reserved    int64                  `json:"aside,omitempty"`     // permits that hosts may use without acquiring them, one each
}

// Config is all limits of a fleet. A higher version replaces a lower one.
type Config struct {
	Version uint64  `json:"version"`
	Limits  []Limit `json:"budgets"`
}

// Lookup returns the limit of that name, or nil.
func (c *Config) Lookup(name LimitName) *Limit {
	if i := slices.IndexFunc(c.Limits, func(l Limit) bool { return l.Name == name }); i >= 0 {
		return &c.Limits[i]
	}
	return nil
}

// DrawSpecs lists the limits that a backend draws from, with the tenant of each: LIMIT=TENANT.
func (c *Config) DrawSpecs(backend InstanceName) (all []string) {
	for i := range c.Limits {
		if _, ok := c.Limits[i].Floors[backend]; ok && c.Limits[i].Tenant != "" {
			all = append(all, string(c.Limits[i].Name)+"="+c.Limits[i].Tenant)
		}
	}
	return all
}

// MinClockMargin is the least margin for a lease: clocks of hosts may run apart by one in a hundred, and the margin covers
// the resolution of timers, however short the lease is.
func MinClockMargin(lease monotime.Micros) monotime.Micros { return max(lease/100, 10_000) }

// LimitError says why a Limit can't be used.
type LimitError struct {
	Field  string // as the fleet's file names it; empty: the limit itself
	Reason string
}

func (e *LimitError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

func invalid(field, format string, args ...any) error {
	return &LimitError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *LimitError for the first field that can't be used.
func (l *Limit) Validate() error {
	floors, err := l.sumFloors()
	if err != nil {
		return err
	}
	switch {
	case l.Kind != Rate && l.Kind != Concurrency:
		return invalid("", "wanted (rate UNITS-A-SECOND) or (count UNITS)")
	case l.Total < 1 || l.Total > quota.MaxRate:
		return invalid(string(l.Kind), "%d is not from 1 to %d", l.Total, int64(quota.MaxRate))
	case l.Kind == Concurrency && (l.Reserved < 0 || l.Reserved >= l.Total):
		return invalid(string(l.Kind), "%d leaves nothing to ask for: one each is set aside for %d hosts", l.Total, l.Reserved)
	case l.Kind == Concurrency:
		return nil
	case floors > l.Total:
		return invalid("floor", "the floors of %d backends sum up to %d, the whole is %d", len(l.Floors), floors, l.Total)
	case l.Step < 1 || l.Step > l.Total:
		return invalid("step", "%d is not from 1 to the whole, %d", l.Step, l.Total)
	case l.Lease <= l.ClockMargin:
		return invalid("lease", "%d ms is not longer than its margin, %d ms", l.Lease/1000, l.ClockMargin/1000)
	case l.ClockMargin < MinClockMargin(l.Lease):
		return invalid("margin", "%d ms is less than %d ms: clocks may run apart by one in a hundred", l.ClockMargin/1000, MinClockMargin(l.Lease)/1000)
	case l.Division != DivideEvenly && l.Division != DivideByCapacity && l.Division != DivideByDemand:
		return invalid("divide", "%q is none of even, capacity, demand", l.Division)
	}
	return nil
}

// sumFloors adds up the floors of all backends, each of which is checked.
func (l *Limit) sumFloors() (sum int64, err error) {
	for _, floor := range l.Floors {
		if floor < 0 || floor > quota.MaxRate {
			return 0, invalid("floor", "%d is not from 0 to %d", floor, int64(quota.MaxRate))
		}
		sum += floor
	}
	return sum, nil
}

// Equal reports whether two configurations are the same.
func (c *Config) Equal(other *Config) bool {
	return c.Version == other.Version && slices.EqualFunc(c.Limits, other.Limits, func(a, b Limit) bool {
		same := maps.Equal(a.Floors, b.Floors) && maps.Equal(a.Weights, b.Weights)
		a.Floors, a.Weights, b.Floors, b.Weights = nil, nil, nil, nil
		return same && a.Name == b.Name && a.Kind == b.Kind && a.Total == b.Total && a.Division == b.Division && a.Step == b.Step &&
			a.Lease == b.Lease && a.ClockMargin == b.ClockMargin && a.Tenant == b.Tenant && a.Reserved == b.Reserved
	})
}

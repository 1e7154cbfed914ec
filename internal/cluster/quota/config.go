// Package quota divides what a fleet may use among its backends. Config says what is limited; State, a pure state machine,
// says who holds how much of it under which lease; LeaseTracker says when a lease has surely expired.
//
// The package does no I/O and holds no clock. State is what the consensus library replicates: the same commands in the
// same order make the same state on every replica.
package quota

import (
	"maps"
	"slices"

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

// Equal reports whether two configurations are the same.
func (c *Config) Equal(other *Config) bool {
	return c.Version == other.Version && slices.EqualFunc(c.Limits, other.Limits, func(a, b Limit) bool {
		same := maps.Equal(a.Floors, b.Floors) && maps.Equal(a.Weights, b.Weights)
		a.Floors, a.Weights, b.Floors, b.Weights = nil, nil, nil, nil
		return same && a.Name == b.Name && a.Kind == b.Kind && a.Total == b.Total && a.Division == b.Division && a.Step == b.Step &&
			a.Lease == b.Lease && a.ClockMargin == b.ClockMargin && a.Tenant == b.Tenant && a.Reserved == b.Reserved
	})
}

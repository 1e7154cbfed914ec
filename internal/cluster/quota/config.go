// Package quota divides the limits of a fleet among its backends. Config lists the limits. State is the replicated
// state machine that records how much of each limit each backend holds, and under which lease. LeaseTracker runs only
// on the leader and decides when a lease has expired.
//
// The package does no I/O and reads no clock. The same commands in the same order result in the same state on every
// replica.
package quota

import (
	"maps"
	"slices"

	"milletbarrow/monotime"
)

// Kind is the kind of usage that a limit bounds.
type Kind string

const (
	// Rate bounds units per second. It is divided into quotas that backends draw from.
	Rate Kind = "rate"
	// Concurrency bounds units in use at once. Each unit is a permit that one instance holds.
	Concurrency Kind = "count"
)

// Division is the rule by which the units of a rate above the floors are divided among backends.
type Division string

const (
	// DivideEvenly gives all backends equal shares.
	DivideEvenly Division = "even"
	// DivideByCapacity gives backends shares in proportion to their weights.
	DivideByCapacity Division = "capacity"
	// DivideByDemand is max-min fair: no backend gets more than its demand while another one's demand is unmet.
	DivideByDemand Division = "demand"
)

// Limit is the maximum that a fleet may use of one resource, and the rule for dividing it.
type Limit struct {
	Name LimitName `json:"name"`
	Kind Kind      `json:"kind"`

	// Total is in units per second for a Rate, in units for Concurrency.
	Total int64 `json:"whole"`

	// Floors holds the units per second of a Rate that each backend may draw without a lease. Only backends listed
	// here, with a floor of 0 or more, may draw at all.
	Floors map[InstanceName]int64 `json:"floors,omitempty"`

	// Division applies to a Rate.
	Division Division `json:"divide,omitempty"`

	// Weights applies to DivideByCapacity. A backend that is not listed has weight 1.
	Weights map[InstanceName]int64 `json:"weight,omitempty"`

	// Step is the granularity in units per second in which a Rate is divided; at least 1.
	Step int64 `json:"step,omitempty"`

	// Lease is how long a backend may draw above its floor without renewing its lease on a Rate.
	Lease monotime.Micros `json:"lease_us,omitempty"`

	// ClockMargin is the greatest assumed drift between two hosts' clocks during one lease.
	ClockMargin monotime.Micros `json:"margin_us,omitempty"`

	// Tenant is the tenant whose requests draw from a Rate.
	Tenant string `json:"tenant,omitempty"`

	// Reserved is the number of permits of a Concurrency limit that are set aside for hosts, which may use one each
	// without acquiring it; 0: every permit must be acquired.
	Reserved int64 `json:"aside,omitempty"`
}

// grantable returns the number of permits that may be acquired.
func (l *Limit) grantable() int64 { return l.Total - l.Reserved }

// Config holds all limits of a fleet. A configuration replaces one of a lower version.
type Config struct {
	Version uint64  `json:"version"` // 0: none has been applied yet
	Limits  []Limit `json:"budgets"`
}

// Lookup returns the limit of that name, or nil.
func (c *Config) Lookup(name LimitName) *Limit {
	if i := slices.IndexFunc(c.Limits, func(limit Limit) bool { return limit.Name == name }); i >= 0 {
		return &c.Limits[i]
	}
	return nil
}

// DrawSpecs returns a string LIMIT=TENANT for each limit that a backend draws from.
func (c *Config) DrawSpecs(backend InstanceName) []string {
	var specs []string
	for i := range c.Limits {
		limit := &c.Limits[i]
		if _, ok := limit.Floors[backend]; ok && limit.Tenant != "" {
			specs = append(specs, string(limit.Name)+"="+limit.Tenant)
		}
	}
	return specs
}

// Equal reports whether two configurations have the same version and the same limits in the same order.
func (c *Config) Equal(other *Config) bool {
	return c.Version == other.Version && slices.EqualFunc(c.Limits, other.Limits, equalLimits)
}

func equalLimits(a, b Limit) bool {
	return a.Name == b.Name &&
		a.Kind == b.Kind &&
		a.Total == b.Total &&
		maps.Equal(a.Floors, b.Floors) &&
		a.Division == b.Division &&
		maps.Equal(a.Weights, b.Weights) &&
		a.Step == b.Step &&
		a.Lease == b.Lease &&
		a.ClockMargin == b.ClockMargin &&
		a.Tenant == b.Tenant &&
		a.Reserved == b.Reserved
}

// Package quota divides what a whole fleet may use among its backends: terms, the ledger that says who may use how much,
// the division, and the clerk that says when a lease is surely over. It does no I/O and holds no clock. The ledger is the
// state that a consensus library replicates: the same commands in the same order make the same ledger everywhere.
package quota

import (
	"fmt"
	"maps"
	"slices"

	"milletbarrow/internal/backend/quota"
)

// Kind says what a budget counts.
type Kind string

// The kinds. A rate is divided into shares that backends draw from; a count is held unit by unit, each by a name.
const (
	Rate        Kind = "rate"
	Concurrency Kind = "count"
)

// Divide says how the part of a rate above the floors is divided.
type Division string

// The divisions. Demand is max-min fair: nobody gets more than it draws and is denied while another lacks.
const (
	DivideEvenly     Division = "even"
	DivideByCapacity Division = "capacity"
	DivideByDemand   Division = "demand"
)

// Budget is one whole and how it is divided.
type Limit struct {
	Name        string           `json:"name"`
	Kind        Kind             `json:"kind"`
	Total       int64            `json:"whole"`            // units a second, or units held at once
	Floors      map[string]int64 `json:"floors,omitempty"` // by backend; of a rate each that may draw stands here
	Division    Division         `json:"divide,omitempty"`
	Weights     map[string]int64 `json:"weight,omitempty"` // by backend, where it is divided by capacity; 1 else
	Step        int64            `json:"step,omitempty"`   // the smallest part that is moved
	Lease       Micros           `json:"lease_us,omitempty"`
	ClockMargin Micros           `json:"margin_us,omitempty"` // for clocks that run apart, over a whole lease
	Tenant      string           `json:"tenant,omitempty"`    // whose work draws
	Reserved    int64            `json:"aside,omitempty"`     // units of a count that hosts may use without asking, one each
}

// Terms are all budgets of a fleet. A higher version replaces a lower one.
type Config struct {
	Version uint64  `json:"version"`
	Limits  []Limit `json:"budgets"`
}

// Find is the budget of that name, or nil.
func (t *Config) Lookup(name string) *Limit {
	if i := slices.IndexFunc(t.Limits, func(b Limit) bool { return b.Name == name }); i >= 0 {
		return &t.Limits[i]
	}
	return nil
}

// Drawn lists the budgets that a backend draws from, with the tenant of each: BUDGET=TENANT.
func (t *Config) DrawSpecs(backend string) (all []string) {
	for i := range t.Limits {
		if _, ok := t.Limits[i].Floors[backend]; ok && t.Limits[i].Tenant != "" {
			all = append(all, t.Limits[i].Name+"="+t.Limits[i].Tenant)
		}
	}
	return all
}

// LeastMargin is what a margin has to be: clocks of hosts may run apart by one in a hundred, and no lease is so short
// that its end can't be told from its beginning.
func MinClockMargin(lease Micros) Micros { return max(lease/100, 10_000) }

// Check tells of a budget that can't be kept; field names the word of the fleet's file that is at fault.
func (b *Limit) Validate() (field string, err error) {
	floors := int64(0)
	for _, f := range b.Floors {
		if f < 0 || f > quota.MaxRate {
			return "floor", fmt.Errorf("%d is not from 0 to %d", f, int64(quota.MaxRate))
		}
		floors += f
	}
	switch {
	case b.Kind != Rate && b.Kind != Concurrency:
		return "", fmt.Errorf("wanted (rate UNITS-A-SECOND) or (count UNITS)")
	case b.Total < 1 || b.Total > quota.MaxRate:
		return string(b.Kind), fmt.Errorf("%d is not from 1 to %d", b.Total, int64(quota.MaxRate))
	case b.Kind == Concurrency && (b.Reserved < 0 || b.Reserved >= b.Total):
		return string(b.Kind), fmt.Errorf("%d leaves nothing to ask for: one each is set aside for %d hosts", b.Total, b.Reserved)
	case b.Kind == Concurrency:
		return "", nil
	case floors > b.Total:
		return "floor", fmt.Errorf("the floors of %d backends sum up to %d, the whole is %d", len(b.Floors), floors, b.Total)
	case b.Step < 1 || b.Step > b.Total:
		return "step", fmt.Errorf("%d is not from 1 to the whole, %d", b.Step, b.Total)
	case b.Lease <= b.ClockMargin:
		return "lease", fmt.Errorf("%d ms is not longer than its margin, %d ms", b.Lease/1000, b.ClockMargin/1000)
	case b.ClockMargin < MinClockMargin(b.Lease):
		return "margin", fmt.Errorf("%d ms is less than %d ms: clocks may run apart by one in a hundred", b.ClockMargin/1000, MinClockMargin(b.Lease)/1000)
	case b.Division != DivideEvenly && b.Division != DivideByCapacity && b.Division != DivideByDemand:
		return "divide", fmt.Errorf("%q is none of even, capacity, demand", b.Division)
	}
	return "", nil
}

// Same tells whether two terms say the same.
func (t *Config) Equal(o *Config) bool {
	return t.Version == o.Version && slices.EqualFunc(t.Limits, o.Limits, func(a, b Limit) bool {
		same := maps.Equal(a.Floors, b.Floors) && maps.Equal(a.Weights, b.Weights)
		a.Floors, a.Weights, b.Floors, b.Weights = nil, nil, nil, nil
		return same && a.Name == b.Name && a.Kind == b.Kind && a.Total == b.Total && a.Division == b.Division && a.Step == b.Step &&
			a.Lease == b.Lease && a.ClockMargin == b.ClockMargin && a.Tenant == b.Tenant && a.Reserved == b.Reserved
	})
}

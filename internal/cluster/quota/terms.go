// Package quota divides what a whole fleet may use among its backends: terms, the ledger that says who may use how much,
// the division, and the clerk that says when a lease is surely over. It does no I/O and holds no clock. The ledger is the
// state that a consensus library replicates: the same commands in the same order make the same ledger everywhere.
package quota

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"milletbarrow/internal/backend/quota"
)

// Micros is a point on some process's own clock, or a span, in whole microseconds.
type Micros = quota.Micros

// Kind says what a budget counts.
type Kind string

// The kinds. A rate is divided into shares that backends draw from; a count is held unit by unit, each by a name.
const (
	Rate  Kind = "rate"
	Count Kind = "count"
)

// Divide says how the part of a rate above the floors is divided.
type Divide string

// The divisions. Demand is max-min fair: nobody gets more than it draws and is denied while another lacks.
const (
	Even     Divide = "even"
	Capacity Divide = "capacity"
	Demand   Divide = "demand"
)

// Budget is one whole and how it is divided.
type Budget struct {
	Name   string           `json:"name"`
	Kind   Kind             `json:"kind"`
	Whole  int64            `json:"whole"`            // units a second, or units held at once
	Floors map[string]int64 `json:"floors,omitempty"` // by backend; of a rate each that may draw stands here
	Divide Divide           `json:"divide,omitempty"`
	Weight map[string]int64 `json:"weight,omitempty"` // by backend, where it is divided by capacity; 1 else
	Step   int64            `json:"step,omitempty"`   // the smallest part that is moved
	Lease  Micros           `json:"lease_us,omitempty"`
	Margin Micros           `json:"margin_us,omitempty"` // for clocks that run apart, over a whole lease
	Tenant string           `json:"tenant,omitempty"`    // whose work draws
	Aside  int64            `json:"aside,omitempty"`     // units of a count that hosts may use without asking, one each
}

// Terms are all budgets of a fleet. A higher version replaces a lower one.
type Terms struct {
	Version uint64   `json:"version"`
	Budgets []Budget `json:"budgets"`
}

// Find is the budget of that name, or nil.
func (t *Terms) Find(name string) *Budget {
	if i := slices.IndexFunc(t.Budgets, func(b Budget) bool { return b.Name == name }); i >= 0 {
		return &t.Budgets[i]
	}
	return nil
}

// Drawn lists the budgets that a backend draws from, with the tenant of each: BUDGET=TENANT.
func (t *Terms) Drawn(backend string) (all []string) {
	for i := range t.Budgets {
		if _, ok := t.Budgets[i].Floors[backend]; ok && t.Budgets[i].Tenant != "" {
			all = append(all, t.Budgets[i].Name+"="+t.Budgets[i].Tenant)
		}
	}
	return all
}

// LeastMargin is what a margin has to be: clocks of hosts may run apart by one in a hundred, and no lease is so short
// that its end can't be told from its beginning.
func LeastMargin(lease Micros) Micros { return max(lease/100, 10_000) }

// Check tells of a budget that can't be kept; field names the word of the fleet's file that is at fault.
func (b *Budget) Check() (field string, err error) {
	floors := int64(0)
	for _, f := range b.Floors {
		if f < 0 || f > quota.MaxRate {
			return "floor", fmt.Errorf("%d is not from 0 to %d", f, int64(quota.MaxRate))
		}
		floors += f
	}
	switch {
	case b.Kind != Rate && b.Kind != Count:
		return "", fmt.Errorf("wanted (rate UNITS-A-SECOND) or (count UNITS)")
	case b.Whole < 1 || b.Whole > quota.MaxRate:
		return string(b.Kind), fmt.Errorf("%d is not from 1 to %d", b.Whole, int64(quota.MaxRate))
	case b.Kind == Count && (b.Aside < 0 || b.Aside >= b.Whole):
		return string(b.Kind), fmt.Errorf("%d leaves nothing to ask for: one each is set aside for %d hosts", b.Whole, b.Aside)
	case b.Kind == Count:
		return "", nil
	case floors > b.Whole:
		return "floor", fmt.Errorf("the floors of %d backends sum up to %d, the whole is %d", len(b.Floors), floors, b.Whole)
	case b.Step < 1 || b.Step > b.Whole:
		return "step", fmt.Errorf("%d is not from 1 to the whole, %d", b.Step, b.Whole)
	case b.Lease <= b.Margin:
		return "lease", fmt.Errorf("%d ms is not longer than its margin, %d ms", b.Lease/1000, b.Margin/1000)
	case b.Margin < LeastMargin(b.Lease):
		return "margin", fmt.Errorf("%d ms is less than %d ms: clocks may run apart by one in a hundred", b.Margin/1000, LeastMargin(b.Lease)/1000)
	case b.Divide != Even && b.Divide != Capacity && b.Divide != Demand:
		return "divide", fmt.Errorf("%q is none of even, capacity, demand", b.Divide)
	}
	return "", nil
}

// Same tells whether two terms say the same.
func (t *Terms) Same(o *Terms) bool {
	return t.Version == o.Version && slices.EqualFunc(t.Budgets, o.Budgets, func(a, b Budget) bool {
		same := maps.Equal(a.Floors, b.Floors) && maps.Equal(a.Weight, b.Weight)
		a.Floors, a.Weight, b.Floors, b.Weight = nil, nil, nil, nil
		return same && a.Name == b.Name && a.Kind == b.Kind && a.Whole == b.Whole && a.Divide == b.Divide && a.Step == b.Step &&
			a.Lease == b.Lease && a.Margin == b.Margin && a.Tenant == b.Tenant && a.Aside == b.Aside
	})
}

// sortedKeys lists a map's keys in order: the same ledger does the same everywhere.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

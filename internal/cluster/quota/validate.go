package quota

import (
	"fmt"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

const (
	clockDriftDivisor       = 100 // two hosts' clocks may drift apart by 1/clockDriftDivisor of the elapsed time
	minClockMargin          = 10 * monotime.Millisecond
	maxRate           int64 = backendquota.MaxRate // units per second, or units
)

// MinClockMargin returns the smallest valid ClockMargin for a lease. It covers the drift of the hosts' clocks and the
// resolution of their timers.
func MinClockMargin(lease monotime.Micros) monotime.Micros {
	return max(lease/clockDriftDivisor, minClockMargin)
}

// LimitError is returned by Limit.Validate for a field that is invalid.
type LimitError struct {
	Field  string // name of the field in the fleet's file; empty: the limit itself
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

// Validate returns a *LimitError for the first field that is invalid, or nil.
func (l *Limit) Validate() error {
	floors, err := l.sumFloors()
	if err != nil {
		return err
	}
	switch {
	case l.Kind != Rate && l.Kind != Concurrency:
		return invalid("", "kind is %q, expected (rate UNITS-A-SECOND) or (count UNITS)", l.Kind)
	case l.Total < 1 || l.Total > maxRate:
		return invalid(string(l.Kind), "%d is not from 1 to %d", l.Total, maxRate)
	case l.Kind == Concurrency:
		return l.validateReserved()
	default:
		return l.validateRate(floors)
	}
}

// sumFloors validates the floors and returns their sum.
func (l *Limit) sumFloors() (int64, error) {
	sum := int64(0)
	for _, floor := range l.Floors {
		if floor < 0 || floor > maxRate {
			return 0, invalid("floor", "%d is not from 0 to %d", floor, maxRate)
		}
		sum += floor
	}
	return sum, nil
}

func (l *Limit) validateReserved() error {
	if l.Reserved < 0 || l.Reserved >= l.Total {
		return invalid(string(l.Kind), "%d units leave none to acquire: %d hosts have one reserved each",
			l.Total, l.Reserved)
	}
	return nil
}

func (l *Limit) validateRate(floors int64) error {
	switch {
	case floors > l.Total:
		return invalid("floor", "the floors of %d backends sum up to %d, the total is %d",
			len(l.Floors), floors, l.Total)
	case l.Step < 1 || l.Step > l.Total:
		return invalid("step", "%d is not from 1 to the total, %d", l.Step, l.Total)
	case l.Lease <= l.ClockMargin:
		return invalid("lease", "%d ms is not longer than its margin, %d ms",
			l.Lease/monotime.Millisecond, l.ClockMargin/monotime.Millisecond)
	case l.ClockMargin < MinClockMargin(l.Lease):
		return invalid("margin", "%d ms is less than %d ms: clocks may drift apart by 1 in %d",
			l.ClockMargin/monotime.Millisecond, MinClockMargin(l.Lease)/monotime.Millisecond, clockDriftDivisor)
	case l.Division != DivideEvenly && l.Division != DivideByCapacity && l.Division != DivideByDemand:
		return invalid("divide", "%q is not one of even, capacity, demand", l.Division)
	}
	return nil
}

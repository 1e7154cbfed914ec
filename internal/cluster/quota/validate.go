package quota

import (
	"fmt"

	"milletbarrow/internal/backend/quota"
)

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

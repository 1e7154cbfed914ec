package harness

import (
	"context"
	"errors"

	"milletbarrow/internal/faultinjection/schedule"
)

// Shrink takes faults out of a schedule that does not hold, as long as what is left does not. Each schedule is run
// for so many attempts, as chance has a part in it. Where the context ends it returns the smallest found by then. The
// error is a *HoldsError if the schedule itself holds in every attempt.
func Shrink(
	ctx context.Context,
	s *schedule.Schedule,
	attempts int,
	options func(*schedule.Schedule) (Options, error),
) (*schedule.Schedule, error) {
	if fails, err := failsOnce(ctx, s, attempts, options); err != nil || !fails {
		return s, errors.Join(err, &HoldsError{s.Name, attempts})
	}
	for {
		smaller, err := smallerThatFails(ctx, s, attempts, options)
		if smaller == nil || err != nil {
			return s, err
		}
		s = smaller
	}
}

// smallerThatFails is the first smaller schedule that does not hold; nil: there is none, or the context has ended.
func smallerThatFails(
	ctx context.Context,
	s *schedule.Schedule,
	attempts int,
	options func(*schedule.Schedule) (Options, error),
) (*schedule.Schedule, error) {
	for _, smaller := range s.Smaller() {
		if ctx.Err() != nil {
			return nil, nil
		}
		if fails, err := failsOnce(ctx, smaller, attempts, options); err != nil || fails {
			return smaller, err
		}
	}
	return nil, nil
}

// failsOnce reports whether a schedule does not hold in one of some attempts.
func failsOnce(
	ctx context.Context,
	s *schedule.Schedule,
	attempts int,
	options func(*schedule.Schedule) (Options, error),
) (bool, error) {
	for range attempts {
		o, err := options(s)
		if err != nil {
			return false, err
		}
		v, err := Run(ctx, o)
		if err != nil {
			return false, err
		}
		if !v.OK && ctx.Err() == nil {
			return true, nil
		}
	}
	return false, nil
}

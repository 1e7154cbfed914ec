package harness

import (
	"context"
	"errors"

	"milletbarrow/internal/faultinjection/schedule"
)

// OptionsFunc returns the options of a trial of the schedule.
type OptionsFunc func(*schedule.Schedule) (Options, error)

// Shrink removes faults from a failing schedule as long as the rest still fails. It runs each schedule for up to the
// given number of attempts, as failures may be intermittent. When the context ends, it returns the smallest failing
// schedule found by then. It returns a *NoFailureError if the schedule itself passes in every attempt.
func Shrink(
	ctx context.Context,
	s *schedule.Schedule,
	attempts int,
	options OptionsFunc,
) (*schedule.Schedule, error) {
	if fails, err := failsInAttempts(ctx, s, attempts, options); err != nil || !fails {
		return s, errors.Join(err, &NoFailureError{Schedule: s.Name, Attempts: attempts})
	}
	for {
		smaller, found, err := smallerThatFails(ctx, s, attempts, options)
		if !found || err != nil {
			return s, err
		}
		s = smaller
	}
}

// smallerThatFails returns the first smaller schedule that fails. found is false if there is none or the context has
// ended.
func smallerThatFails(
	ctx context.Context,
	s *schedule.Schedule,
	attempts int,
	options OptionsFunc,
) (smaller *schedule.Schedule, found bool, err error) {
	for _, smaller := range s.Smaller() {
		if isDone(ctx) {
			return nil, false, nil
		}
		fails, err := failsInAttempts(ctx, smaller, attempts, options)
		if err != nil {
			return nil, false, err
		}
		if fails {
			return smaller, true, nil
		}
	}
	return nil, false, nil
}

// failsInAttempts reports whether a schedule fails in one of the attempts.
func failsInAttempts(
	ctx context.Context,
	s *schedule.Schedule,
	attempts int,
	options OptionsFunc,
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
		if !v.OK && !isDone(ctx) {
			return true, nil
		}
	}
	return false, nil
}

func isDone(ctx context.Context) bool { return ctx.Err() != nil }

package experiment

import (
	"errors"
	"fmt"
	"strings"

	"milletbarrow/internal/simulation"
)

// ErrLocked says that another process writes to the directory.
var ErrLocked = errors.New("another run writes to this place")

// ErrOtherBuild says that the results in the directory are of another build.
var ErrOtherBuild = errors.New("the results there are of another build: name another place, or remove it")

// ErrDamaged says that a stored result is truncated or altered.
var ErrDamaged = errors.New("cut short or altered")

// ResultError says why a stored result can't be used. Err is or wraps ErrDamaged, a *VersionError, or what JSON reports.
type ResultError struct {
	File string
	Err  error
}

func (e *ResultError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ResultError) Unwrap() error { return e.Err }

// VersionError says that a stored result has a newer form than this build reads.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d, this build reads up to %d", e.Version, simulation.Version)
}

// UnknownMeasureError names a figure that does not exist.
type UnknownMeasureError struct{ Name string }

func (e *UnknownMeasureError) Error() string {
	return fmt.Sprintf("no figure %q: value, priced, broken, attempts, wasted, changes, or OPERATION with .value, .in-time, .p50, .p99 or .%s",
		e.Name, strings.Join(simulation.Outcomes(), ", ."))
}

// SweepError says that a sweep can't be read from a text.
type SweepError struct{ Text, Wanted string }

func (e *SweepError) Error() string { return fmt.Sprintf("over: %q, wanted %s", e.Text, e.Wanted) }

// UnsweepableError names a field that can't be swept.
type UnsweepableError struct{ Field string }

func (e *UnsweepableError) Error() string {
	return fmt.Sprintf("%q can't be swept; load.at, size, hosts.count, nodes.count, nodes.deaf, nodes.tries, nodes.subset, nodes.behind, register.lag (seconds), trouble.factor and trouble.share can",
		e.Field)
}

// TooManyRunsError says that an experiment has more than MaxCells runs.
type TooManyRunsError struct{ Runs int }

func (e *TooManyRunsError) Error() string {
	return fmt.Sprintf("%d runs, wanted %d at the most", e.Runs, MaxCells)
}

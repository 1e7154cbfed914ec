package experiment

import (
	"errors"
	"fmt"
	"strings"

	"milletbarrow/internal/simulation"
)

// ErrLocked reports that another process writes to the result directory.
var ErrLocked = errors.New("result directory is locked by another run")

// ErrOtherBuild reports that the results in the directory were written by another build.
var ErrOtherBuild = errors.New("results were written by another build: choose another directory, or remove this one")

// ErrDamaged reports that a stored result is truncated or corrupted.
var ErrDamaged = errors.New("result is truncated or corrupted")

// ResultError reports a stored result that can't be used. Err wraps ErrDamaged, is a *VersionError, or is the error
// of the JSON decoder.
type ResultError struct {
	File string // path
	Err  error  // cause
}

func (e *ResultError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ResultError) Unwrap() error { return e.Err }

// VersionError reports that a stored result has a newer format than this build reads.
type VersionError struct {
	Version int // of the result
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("result has version %d, expected at most %d", e.Version, simulation.Version)
}

// UnknownMeasureError reports a name that is not that of a metric.
type UnknownMeasureError struct {
	Name string // as given
}

func (e *UnknownMeasureError) Error() string {
	return fmt.Sprintf("unknown metric %q: expected value, priced, broken, attempts, wasted, changes, "+
		"or the name of an operation or tenant followed by .value, .in-time, .p50, .p99 or .%s",
		e.Name, strings.Join(simulation.Outcomes(), ", ."))
}

// SweepError reports a sweep that can't be parsed.
type SweepError struct {
	Text   string // the part that is invalid
	Wanted string // what is expected in its place
}

func (e *SweepError) Error() string {
	return fmt.Sprintf("over: found %q, wanted %s", e.Text, e.Wanted)
}

// UnsweepableError reports a field that can't be swept.
type UnsweepableError struct {
	Field string // as given
}

func (e *UnsweepableError) Error() string {
	return fmt.Sprintf("field %q can't be swept: expected load.at, size, hosts.count, nodes.count, nodes.deaf, "+
		"nodes.tries, nodes.subset, nodes.behind, register.lag (in seconds), trouble.factor or trouble.share", e.Field)
}

// TooManyRunsError reports that an experiment has more than MaxCells runs.
type TooManyRunsError struct {
	Runs int // of the experiment
}

func (e *TooManyRunsError) Error() string {
	return fmt.Sprintf("experiment has %d runs, expected at most %d", e.Runs, MaxCells)
}

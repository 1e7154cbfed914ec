package coldstart

import "fmt"

// maxCount bounds the counts of a Config.
const (
	maxCount      = 100_000
	maxSlowFactor = 1000
)

// Config sets the bounds of a cold start.
type Config struct {
	MaxConcurrent     int64   `json:"most"`     // starting or warming at once, over all hosts
	InitialConcurrent int64   `json:"first"`    // at the beginning
	MinServing        float64 `json:"least"`    // share of each group that comes first, 0 to 1
	MaxFailures       int64   `json:"failures"` // failures in a row, without a successful start between them, that halt the cold start
	SlowFactor        float64 `json:"slow"`     // a start that takes so many times as long as the fastest of its group says that it is crowded
	MaxRejected       float64 `json:"refused"`  // and so does a greater share of calls to dependencies, or to the registry, that is rejected
}

// ConfigError says which field of a Config can't be used.
type ConfigError struct {
	Field  string // as the fleet's file names it
	Reason string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns a *ConfigError for the first field that can't be used.
func (c *Config) Validate() error {
	switch {
	case c.MaxConcurrent < 1 || c.MaxConcurrent > maxCount:
		return invalid("most", "%d is not from 1 to %d", c.MaxConcurrent, maxCount)
	case c.InitialConcurrent < 1 || c.InitialConcurrent > c.MaxConcurrent:
		return invalid("first", "%d is not from 1 to %d, which is what may be under way at once", c.InitialConcurrent, c.MaxConcurrent)
	case !(c.MinServing >= 0 && c.MinServing <= 1):
		return invalid("least", "%g is not from 0 to 1", c.MinServing)
	case c.MaxFailures < 1 || c.MaxFailures > maxCount:
		return invalid("failures", "%d is not from 1 to %d", c.MaxFailures, maxCount)
	case !(c.SlowFactor > 1 && c.SlowFactor <= maxSlowFactor):
		return invalid("slow", "%g is not above 1, up to %d", c.SlowFactor, maxSlowFactor)
	case !(c.MaxRejected > 0 && c.MaxRejected <= 1):
		return invalid("refused", "%g is not above 0, up to 1", c.MaxRejected)
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

package coldstart

import "fmt"

// Upper bounds of a Config's fields.
const (
	maxCount              = 100_000
	maxSlowFactor float64 = 1000
)

// Config is the configuration of a cold start.
type Config struct {
	MaxConcurrent     int64 `json:"most"`  // members that may start at once, over all hosts
	InitialConcurrent int64 `json:"first"` // concurrency limit when the cold start begins

	// MinServing is the fraction of each group, from 0 to 1, that is essential and starts before all other members.
	MinServing float64 `json:"least"`

	// MaxFailures is the number of consecutive failures that halts the cold start.
	MaxFailures int64 `json:"failures"`

	// SlowFactor is the greatest ratio of a start's duration to the shortest in its group that does not lower the
	// concurrency limit.
	SlowFactor float64 `json:"slow"`

	// MaxRejected is the greatest fraction, from 0 to 1, of calls to dependencies or to the registry that may be
	// rejected during a start without lowering the concurrency limit.
	MaxRejected float64 `json:"refused"`
}

// ConfigError is returned by Config.Validate for a field that is invalid.
type ConfigError struct {
	Field  string // name of the field in JSON
	Reason string
}

func (e *ConfigError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns a *ConfigError for the first field that is invalid, or nil.
func (c *Config) Validate() error {
	switch {
	case c.MaxConcurrent < 1 || c.MaxConcurrent > maxCount:
		return invalid("most", "%d is not from 1 to %d", c.MaxConcurrent, maxCount)
	case c.InitialConcurrent < 1 || c.InitialConcurrent > c.MaxConcurrent:
		return invalid("first", "%d is not from 1 to %d, the value of most", c.InitialConcurrent, c.MaxConcurrent)
	case !(c.MinServing >= 0 && c.MinServing <= 1): // negated to reject NaN, here and below
		return invalid("least", "%g is not from 0 to 1", c.MinServing)
	case c.MaxFailures < 1 || c.MaxFailures > maxCount:
		return invalid("failures", "%d is not from 1 to %d", c.MaxFailures, maxCount)
	case !(c.SlowFactor > 1 && c.SlowFactor <= maxSlowFactor):
		return invalid("slow", "%g is not above 1 and at most %g", c.SlowFactor, maxSlowFactor)
	case !(c.MaxRejected > 0 && c.MaxRejected <= 1):
		return invalid("refused", "%g is not above 0 and at most 1", c.MaxRejected)
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

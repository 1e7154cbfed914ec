package fleet

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// RollingUpdateConfig sets the bounds of a rolling update.
type RollingUpdateConfig struct {
	MaxInProgress      int             `json:"width"`        // instances in progress at once, 1 or more
	MinReady           int             `json:"least_count"`  // instances ready in each group at all times; 0: no bound
	MinReadyShare      float64         `json:"least_share"`  // of those desired up in each group, 0 to 1; 0: no bound
	Order              string          `json:"order"`        // OrderFile, OrderName or OrderSpread
	Surge              int             `json:"surge"`        // spares of each group ready before an instance leaves
	MaxFailures        int             `json:"failures"`     // tolerated failed instances; more pause the update
	ReadyWithin        monotime.Micros `json:"ready_within"` // from launch to ready; 0: the group's StartWithin
	StallTimeout       monotime.Micros `json:"stall"`        // an update blocked for this long pauses; above 0
	MaxRejectedShare   float64         `json:"turned_away"`  // share of rejected invocations, above 0; 1: no bound
	RejectionTolerance monotime.Micros `json:"turned_for"`   // time above MaxRejectedShare that pauses the update
}

// The orders of a rolling update.
const (
	OrderFile   = "file"   // as the fleet's file lists the instances
	OrderName   = "name"   // by name
	OrderSpread = "spread" // one instance of each group in turn
)

// Defaults of a rolling update. They favor availability over speed.
const (
	defaultMinReadyShare      = 0.75
	defaultStallTimeout       = time.Minute
	defaultRejectionTolerance = 5 * time.Second
)

// maxRolloutCount bounds the counts of a rolling update.
const maxRolloutCount = 10_000

// DefaultRollingUpdate returns the default configuration: one instance at a time, three quarters of each group ready,
// and no failure tolerated.
func DefaultRollingUpdate() RollingUpdateConfig {
	return RollingUpdateConfig{
		MaxInProgress:      1,
		MinReadyShare:      defaultMinReadyShare,
		Order:              OrderFile,
		StallTimeout:       monotime.FromDuration(defaultStallTimeout),
		MaxRejectedShare:   1,
		RejectionTolerance: monotime.FromDuration(defaultRejectionTolerance),
	}
}

// Check returns a *FieldError for the first invalid field.
func (c RollingUpdateConfig) Check() error {
	switch {
	case c.MaxInProgress < 1 || c.MaxInProgress > maxRolloutCount:
		return fieldErrorf("width", "%d is not from 1 to %d", c.MaxInProgress, maxRolloutCount)
	case c.MinReady < 0:
		return fieldErrorf("least_count", "%d is negative", c.MinReady)
	case !isShare(c.MinReadyShare):
		return fieldErrorf("least_share", "%v is not from 0 to 1", c.MinReadyShare)
	case !slices.Contains([]string{OrderFile, OrderName, OrderSpread}, c.Order):
		return fieldErrorf("order", "%q is not one of file, name, spread", c.Order)
	case c.Surge < 0:
		return fieldErrorf("surge", "%d is negative", c.Surge)
	case c.MaxFailures < 0:
		return fieldErrorf("failures", "%d is negative", c.MaxFailures)
	case c.ReadyWithin < 0:
		return fieldErrorf("ready_within", "%v is negative", c.ReadyWithin.Duration())
	case c.StallTimeout <= 0:
		return fieldErrorf("stall", "%v is not above 0", c.StallTimeout.Duration())
	case c.RejectionTolerance < 0:
		return fieldErrorf("turned_for", "%v is negative", c.RejectionTolerance.Duration())
	case !isShare(c.MaxRejectedShare) || c.MaxRejectedShare == 0:
		return fieldErrorf("turned_away", "%v is not above 0 and at most 1", c.MaxRejectedShare)
	}
	return nil
}

// minReady returns how many instances of a group must stay ready if desiredUp of them are desired up.
func (c RollingUpdateConfig) minReady(desiredUp int) int {
	const roundingError = 1e-9 // a product such as 0.07*100 may exceed the exact integer by so much
	return max(c.MinReady, int(math.Ceil(c.MinReadyShare*float64(desiredUp)-roundingError)))
}

// isShare reports whether x is from 0 to 1; NaN is not.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// readRollingUpdate reads the (rolling-update ...) form; missing fields keep their values in config.
func readRollingUpdate(form *sexpr.Form, config RollingUpdateConfig) RollingUpdateConfig {
	span := func(name string, missing monotime.Micros) monotime.Micros {
		return monotime.FromDuration(form.Span(name, 0, maxSpan, missing.Duration()))
	}
	config.MaxInProgress = form.Int("max-unavailable", 1, maxRolloutCount, config.MaxInProgress)
	config.MinReady = form.Int("min-ready", 0, maxRolloutCount, config.MinReady)
	config.MinReadyShare = form.Share("min-ready-share", 0, 1, config.MinReadyShare)
	config.Order = form.OneOf("order", OrderFile, OrderName, OrderSpread)
	config.Surge = form.Int("surge", 0, maxRolloutCount, config.Surge)
	config.MaxFailures = form.Int("max-failures", 0, maxRolloutCount, config.MaxFailures)
	config.ReadyWithin = span("ready-within", 0)
	config.StallTimeout = span("stall-timeout", config.StallTimeout)
	config.RejectionTolerance = span("rejected-for", config.RejectionTolerance)
	config.MaxRejectedShare = form.Share("rejected-share", 0, 1, config.MaxRejectedShare)
	form.Done()
	if err, ok := errors.AsType[*FieldError](config.Check()); ok {
		field := strings.ReplaceAll(err.Field, "_", "-")
		if name, found := formerSpecNames["rolling-update"][field]; found {
			field = name
		}
		form.Fail(field, "%s", err.Reason)
	}
	return config
}

// rolloutOrder returns names in the order of a rolling update; fileOrder gives the position of an instance in the file.
func rolloutOrder(order string, names []string, fileOrder func(string) int, group func(string) string) []string {
	byFile := func(a, b string) int { return cmp.Compare(fileOrder(a), fileOrder(b)) }
	ordered := slices.Clone(names)
	switch order {
	case OrderName:
		slices.Sort(ordered)
	case OrderSpread:
		slices.SortFunc(ordered, byFile)
		seen := map[string]int{}     // by group
		position := map[string]int{} // in its group, by instance
		for _, name := range ordered {
			position[name] = seen[group(name)]
			seen[group(name)]++
		}
		slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(position[a], position[b]) })
	default:
		slices.SortFunc(ordered, byFile)
	}
	return ordered
}

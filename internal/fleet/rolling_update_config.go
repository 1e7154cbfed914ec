package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// RollingUpdateConfig says how a rolling update goes.
type RollingUpdateConfig struct {
	MaxInProgress      int             `json:"width"`        // instances in progress at once, 1 or more
	MinReady           int             `json:"least_count"`  // instances ready in each group, at all times
	MinReadyShare      float64         `json:"least_share"`  // and of those that are desired up, 0 to 1
	Order              string          `json:"order"`        // OrderFile, OrderName or OrderSpread
	Surge              int             `json:"surge"`        // spares of each group that are ready before the first instance leaves
	MaxFailures        int             `json:"failures"`     // more than so many pause the update
	ReadyWithin        monotime.Micros `json:"ready_within"` // time from launch to ready; 0: the group's
	StallTimeout       monotime.Micros `json:"stall"`        // blocked for so long, the update pauses and says why
	MaxRejectedShare   float64         `json:"turned_away"`  // share of rejected invocations that pauses it; 1: never
	RejectionTolerance monotime.Micros `json:"turned_for"`   // if it lasts so long
}

// DefaultRollingUpdate is a careful update: one instance at a time, three quarters ready, no failure.
func DefaultRollingUpdate() RollingUpdateConfig {
	return RollingUpdateConfig{
		MaxInProgress: 1, MinReadyShare: 0.75, Order: OrderFile, StallTimeout: monotime.FromDuration(time.Minute), MaxRejectedShare: 1,
		RejectionTolerance: monotime.FromDuration(5 * time.Second),
	}
}

// Check reports what makes a configuration unusable. Errors are *FieldError.
func (w RollingUpdateConfig) Check() error {
	switch {
	case w.MaxInProgress < 1 || w.MaxInProgress > 10_000:
		return fieldErrorf("width", "%d is not from 1 to 10000", w.MaxInProgress)
	case w.MinReady < 0:
		return fieldErrorf("least_count", "%d is below 0", w.MinReady)
	case !isShare(w.MinReadyShare):
		return fieldErrorf("least_share", "%v is not from 0 to 1", w.MinReadyShare)
	case !slices.Contains([]string{OrderFile, OrderName, OrderSpread}, w.Order):
		return fieldErrorf("order", "%q is none of file, name, spread", w.Order)
	case w.Surge < 0 || w.MaxFailures < 0 || w.ReadyWithin < 0 || w.StallTimeout <= 0 || w.RejectionTolerance < 0:
		return fieldErrorf("surge, failures and times", "{Width:%d LeastCount:%d LeastShare:%v Order:%s Surge:%d Failures:%d ReadyWithin:%d "+
			"Stall:%d TurnedAway:%v TurnedFor:%d} holds one below 0, or no stall",
			w.MaxInProgress, w.MinReady, w.MinReadyShare, w.Order, w.Surge, w.MaxFailures, w.ReadyWithin, w.StallTimeout, w.MaxRejectedShare, w.RejectionTolerance)
	case !isShare(w.MaxRejectedShare) || w.MaxRejectedShare == 0:
		return fieldErrorf("turned_away", "%v is not above 0 and at most 1", w.MaxRejectedShare)
	}
	return nil
}

// minReady is how many of a group must stay ready if so many are desired up.
func (w RollingUpdateConfig) minReady(up int) int {
	return max(w.MinReady, int(math.Ceil(w.MinReadyShare*float64(up)-1e-9)))
}

// isShare reports whether x is from 0 to 1; NaN is not.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// The orders of a rolling update.
const (
	OrderFile   = "file"   // as the fleet's file lists the instances
	OrderName   = "name"   // by name
	OrderSpread = "spread" // one instance of each group in turn
)

// readRollingUpdate reads the (wave ...) form; what it lacks stays as in w.
func readRollingUpdate(f *sexpr.Form, w RollingUpdateConfig) RollingUpdateConfig {
	const many = 10_000
	span := func(name string, or monotime.Micros) monotime.Micros {
		return monotime.FromDuration(f.Span(name, 0, maxSpan, time.Duration(or)*time.Microsecond))
	}
	w.MaxInProgress = f.Int("width", 1, many, w.MaxInProgress)
	w.MinReady = f.Int("least-count", 0, many, w.MinReady)
	w.MinReadyShare = f.Share("least-share", 0, 1, w.MinReadyShare)
	w.Order = f.OneOf("order", OrderFile, OrderName, OrderSpread)
	w.Surge = f.Int("surge", 0, many, w.Surge)
	w.MaxFailures = f.Int("failures", 0, many, w.MaxFailures)
	w.ReadyWithin, w.StallTimeout, w.RejectionTolerance = span("ready-within", 0), span("stall", w.StallTimeout), span("turned-for", w.RejectionTolerance)
	w.MaxRejectedShare = f.Share("turned-away", 0, 1, w.MaxRejectedShare)
	f.Done()
	if err := w.Check(); err != nil {
		f.Fail("", "%v", err)
	}
	return w
}

// rolloutOrder puts names in the order of a rolling update; place is the place of each in the file.
func rolloutOrder(order string, names []string, place func(string) int, group func(string) string) []string {
	byFile := func(a, b string) int { return cmp.Compare(place(a), place(b)) }
	out := slices.Clone(names)
	switch order {
	case OrderName:
		slices.Sort(out)
	case OrderSpread:
		slices.SortFunc(out, byFile)
		seen, turn := map[string]int{}, map[string]int{}
		for _, n := range out {
			turn[n] = seen[group(n)]
			seen[group(n)]++
		}
		slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(turn[a], turn[b]) })
	default:
		slices.SortFunc(out, byFile)
	}
	return out
}

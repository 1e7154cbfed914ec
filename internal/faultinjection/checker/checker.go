// Package checker verifies a fault-injection trial by the draw logs that the backend processes wrote. All processes run
// on one machine and share its clock. The package computes the grants in force at every instant and the units drawn,
// and reports each breach of a quota's total. It shares no code with the program under test, relies on the logs alone,
// and does no I/O besides reading them.
//
// All times are microseconds of the machine's boot clock (CLOCK_BOOTTIME); all durations are microseconds.
//
// Invariants that the package verifies:
//   - At no instant do the grants in force add up to more than the total (CheckGrants,
//     TestGrantsAboveTotalAreBreaches).
//   - In no span are more units drawn than the total allows plus the burst (CheckDraws,
//     TestDrawsAboveTotalAndBurstAreBreaches).
package checker

import "fmt"

const (
	microsecondsPerSecond int64 = 1_000_000
	partsPerMillion       int64 = 1_000_000
)

// Total limits the sum of a quota's grants from a time on. A lower total applies from the time at which every grant
// made under the higher total has expired.
type Total struct {
	From  int64 // microseconds
	Units int64 // units per second; 0: the quota is not checked
}

// Limits maps the name of a quota to its totals, sorted by From.
type Limits map[string][]Total

// at returns the total of a quota that is in force at a time, or 0 before the first total.
func (l Limits) at(quota string, at int64) (units int64) {
	for _, total := range l[quota] {
		if total.From <= at {
			units = total.Units
		}
	}
	return units
}

// highest returns the highest total of a quota that is in force at any time of a span, its end excluded.
func (l Limits) highest(quota string, from, to int64) int64 {
	units := l.at(quota, from)
	for _, total := range l[quota] {
		if total.From > from && total.From < to {
			units = max(units, total.Units)
		}
	}
	return units
}

// Breach is a span of time in which a rule was violated.
type Breach struct {
	Quota    string   `json:"budget"`
	Rule     Rule     `json:"what"`
	At       int64    `json:"at_us"`         // start of the span, microseconds
	Duration int64    `json:"for_us"`        // microseconds
	Found    int64    `json:"found"`         // units per second in force, or units drawn, by rule
	Limit    int64    `json:"most"`          // highest allowed value of Found
	Holders  []Holder `json:"who,omitempty"` // processes with units in force, sorted by name; nil for RuleUnitsDrawn
}

// Rule names the invariant that a breach violates.
type Rule string

// Rules that a breach can violate.
const (
	RuleGrantsInForce Rule = "shares in force" // at no instant more units in force than the total
	RuleUnitsDrawn    Rule = "units drawn"     // in no span more units drawn than the total allows
)

// Holder is a process that has units of a quota in force.
type Holder struct {
	Name  string `json:"name"`  // of the backend
	Epoch uint64 `json:"epoch"` // of its latest grant
	Floor int64  `json:"floor"` // units per second granted without a lease
	Extra int64  `json:"extra"` // units per second granted by a lease; 0: no lease in force
}

// String describes the breach in one line. Stored verdicts contain this text.
func (b Breach) String() string {
	return fmt.Sprintf(
		"%s: %s: %d, at most %d may be, at %d for %d us, among %d",
		b.Quota,
		b.Rule,
		b.Found,
		b.Limit,
		b.At,
		b.Duration,
		len(b.Holders),
	)
}

// maxBreaches limits the breaches that a report holds; further breaches are only counted.
const maxBreaches int = 10

// Report is the result of checking one quota.
type Report struct {
	Quota    string   `json:"budget"`
	Breaches []Breach `json:"breaches,omitempty"` // the first maxBreaches
	Count    int      `json:"count"`              // all breaches
	Peak     float64  `json:"most"`               // highest sum of grants in force, as a fraction of the total
	Drawn    int64    `json:"drawn"`              // units
	Mean     float64  `json:"mean"`               // time average of grants in force, as a fraction of the total
	Last     float64  `json:"last"`               // grants in force at the end, as a fraction of the total
	Excess   int64    `json:"over"`               // most units that a span drew above the total; burst not deducted
	Grants   int      `json:"grants"`             // entries that report a grant
}

// add records a breach.
func (r *Report) add(b Breach) {
	r.Count++
	if len(r.Breaches) < maxBreaches {
		r.Breaches = append(r.Breaches, b)
	}
}

// Package checker judges a fault-injection trial by the draw logs that each backend process wrote itself: one
// machine, one clock. It works out which grants were in force at every instant and what was drawn, and reports where
// that was more than the quota's total. It shares no code with what it judges and trusts nothing but the logs; it
// does no I/O but reading them.
//
// All times are microseconds of the machine's boot clock (CLOCK_BOOTTIME), all spans are microseconds.
package checker

import "fmt"

// Total is what the grants of a quota may add up to from a time on. A lower total is added with the time from which no
// holder can be left that was granted units under the higher one.
type Total struct {
	From  int64 // microseconds
	Units int64
}

// Limits are the totals of each quota by its name, sorted by From.
type Limits map[string][]Total

// at is the total of a quota that is in force at a time; 0: none yet.
func (l Limits) at(quota string, at int64) (units int64) {
	for _, total := range l[quota] {
		if total.From <= at {
			units = total.Units
		}
	}
	return units
}

// highest is the highest total of a quota that is in force at any time of a span, its end excluded.
func (l Limits) highest(quota string, from, to int64) int64 {
	units := l.at(quota, from)
	for _, total := range l[quota] {
		if total.From > from && total.From < to {
			units = max(units, total.Units)
		}
	}
	return units
}

// Breach is one instant, or one span, in which something was more than its limit.
type Breach struct {
	Quota    string   `json:"budget"`
	Rule     Rule     `json:"what"`
	At       int64    `json:"at_us"`
	Duration int64    `json:"for_us"`
	Found    int64    `json:"found"`         // units
	Limit    int64    `json:"most"`          // units
	Holders  []Holder `json:"who,omitempty"` // those with units in force then, by name
}

// Rule names what a breach broke.
type Rule string

// The rules.
const (
	RuleGrantsInForce Rule = "shares in force" // at no instant more units in force than the total
	RuleUnitsDrawn    Rule = "units drawn"     // in no span more units drawn than the total allows
)

// Holder is one process with the units it may draw.
type Holder struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"` // of its latest grant
	Floor int64  `json:"floor"` // without a lease
	Extra int64  `json:"extra"` // by its lease
}

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

// maxBreaches is how many breaches a report holds; the others are counted.
const maxBreaches = 10

// Report is what was found of one quota.
type Report struct {
	Quota    string   `json:"budget"`
	Breaches []Breach `json:"breaches,omitempty"` // the first ones
	Count    int      `json:"count"`              // of all breaches
	Peak     float64  `json:"most"`               // the highest sum of grants in force, as a part of the total
	Drawn    int64    `json:"drawn"`              // units
	Mean     float64  `json:"mean"`               // grants in force over time, as a part of the total
	Last     float64  `json:"last"`               // grants in force at the end, as a part of the total
	Excess   int64    `json:"over"`               // units drawn over the total in the worst span, burst included
	Grants   int      `json:"grants"`
}

func (r *Report) add(b Breach) {
	r.Count++
	if len(r.Breaches) < maxBreaches {
		r.Breaches = append(r.Breaches, b)
	}
}

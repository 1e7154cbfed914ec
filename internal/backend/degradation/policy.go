// Package degradation is graceful degradation: a Controller derives from measured signals which level of a Policy is in
// force, and a Shedder which requests that level sheds. It does no I/O and has no clock: times are passed in.
package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// Policy is an ordered list of levels of reduced service, the mildest first. Its
// tags are the names in printed output, by which stored results of experiments are found.
type Policy struct {
	Name           string
	Levels         []Level
	Smoothing      [signalCount]monotime.Micros `json:"Smooth"` // by signal: the time constant of its exponential smoothing
	ChangeInterval monotime.Micros              `json:"Every"`  // at most one change of a level in so long, except in a collapse
	RecoveryRamp   monotime.Micros              `json:"Ramp"`   // leaving a level takes so long; it sheds less and less meanwhile
	MaxOverride    monotime.Micros              `json:"Pins"`   // the longest override of the level by an operator
}

// Level is one level of reduced service. What milder levels shed is shed too.
type Level struct {
	Name        string
	Enter, Exit Condition
	MinDuration monotime.Micros `json:"Stay"` // it is in force for at least so long
	Shed        []Rule
	place       sexpr.Place
}

// Condition is met if all of its terms hold, or any of them.
type Condition struct {
	Any   bool
	Terms []Term
}

// Term holds once a signal has been beyond a value for a time without interruption: at or above it in an entry, below it in
// an exit.
type Term struct {
	Signal Signal
	Value  float64
	For    monotime.Micros
}

// Rule sheds requests that match all of its fields.
type Rule struct {
	Operations []string        // empty: all
	Tenants    []string        // empty: all
	RankBelow  float64         // 1: all ranks
	CostAbove  monotime.Micros // expected work; 0: any
	Share      float64         // fraction to shed, above 0, at most 1
}

// Bounds of a policy file; ParsePolicy refuses a larger one.
const (
	MaxLevels = 8
	MaxRules  = 16
	MaxTerms  = 8
)

// threshold returns the value that a condition compares a signal with, if it does.
func (c Condition) threshold(s Signal) (float64, bool) {
	for _, t := range c.Terms {
		if t.Signal == s {
			return t.Value, true
		}
	}
	return 0, false
}

// SignalsUsed returns the signals that the conditions compare, each once.
func (p *Policy) SignalsUsed() (all []Signal) {
	for s := range signalCount {
		for _, level := range p.Levels {
			_, entered := level.Enter.threshold(s)
			_, left := level.Exit.threshold(s)
			if (entered || left) && !slices.Contains(all, s) {
				all = append(all, s)
			}
		}
	}
	return all
}

// LevelName returns the name of a level by its number.
func (policy *Policy) LevelName(n int) string {
	if n == 0 {
		return "full"
	}
	return policy.Levels[n-1].Name
}

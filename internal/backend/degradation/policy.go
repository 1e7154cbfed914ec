// Package degradation is graceful degradation: a Controller derives from measured signals which level of a Policy is in
// force, and a Shedder which requests that level sheds. It does no I/O and has no clock: times are passed in.
package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// fullService is the name of level 0, at which nothing is shed.
const fullService = "full"

// Bounds of a policy file; ParsePolicy refuses a larger one.
const (
	MaxLevels = 8  // levels of a policy
	MaxRules  = 16 // rules of a level
	MaxTerms  = 8  // terms of a condition
)

// Policy is an ordered list of levels of reduced service, the mildest first. Its tags are the names in printed output,
// by which stored results of experiments are found.
type Policy struct {
	Name           string
	Levels         []Level                      // by number, from 1
	Smoothing      [signalCount]monotime.Micros `json:"Smooth"` // by signal: time constant of its smoothing; 0: none
	ChangeInterval monotime.Micros              `json:"Every"`  // shortest time between changes of a level
	RecoveryRamp   monotime.Micros              `json:"Ramp"`   // duration of leaving a level; 0: at once
	MaxOverride    monotime.Micros              `json:"Pins"`   // longest override by an operator
}

// Level is one level of reduced service. What milder levels shed is shed too.
type Level struct {
	Name        string
	Enter       Condition       // the level is entered if it is met
	Exit        Condition       // the level is left if it is met
	MinDuration monotime.Micros `json:"Stay"` // shortest time in force
	Shed        []Rule
	place       sexpr.Place // in the policy file
}

// Condition is met if all of its terms hold, or any of them.
type Condition struct {
	Any   bool // true if one term suffices
	Terms []Term
}

// Term holds once a signal has been beyond a value for a time without interruption: at or above it in an entry, below
// it in an exit.
type Term struct {
	Signal Signal
	Value  float64
	For    monotime.Micros // 0: at once
}

// Rule sheds requests that match all of its fields.
type Rule struct {
	Operations []string        // empty: all
	Tenants    []string        // empty: all
	RankBelow  float64         // 1: all ranks
	CostAbove  monotime.Micros // expected work; 0: any
	Share      float64         // fraction to shed, above 0, at most 1
}

// LevelName returns the name of a level by its number.
func (p *Policy) LevelName(number int) string {
	if number == 0 {
		return fullService
	}
	return p.Levels[number-1].Name
}

// levelNumber returns the number of the level with a name, or 0 if there is none.
func (p *Policy) levelNumber(name string) int {
	return slices.IndexFunc(p.Levels, func(level Level) bool { return level.Name == name }) + 1
}

// SignalsUsed returns the signals that the conditions compare, each once.
func (p *Policy) SignalsUsed() (all []Signal) {
	for s := range signalCount {
		usesSignal := func(level Level) bool { return level.Enter.uses(s) || level.Exit.uses(s) }
		if slices.ContainsFunc(p.Levels, usesSignal) {
			all = append(all, s)
		}
	}
	return all
}

// threshold returns the value that the first term with a signal compares it with; ok is false if there is none.
func (c Condition) threshold(s Signal) (value float64, ok bool) {
	for _, term := range c.Terms {
		if term.Signal == s {
			return term.Value, true
		}
	}
	return 0, false
}

// uses reports whether a term compares the signal.
func (c Condition) uses(s Signal) bool {
	_, ok := c.threshold(s)
	return ok
}

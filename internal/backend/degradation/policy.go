// Package degradation implements graceful degradation: a Controller derives from measured signals which level of a
// Policy is in force, and a Shedder decides which requests that level sheds. The package does no I/O and reads no
// clock: times are passed in.
package degradation

import (
	"slices"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// fullService is the name of level 0, at which nothing is shed.
const fullService = "full"

// Bounds of a policy file; ParsePolicy rejects a larger one.
const (
	MaxLevels = 8  // levels of a policy
	MaxRules  = 16 // rules of a level
	MaxTerms  = 8  // terms of a condition
)

// Policy is an ordered list of levels of reduced service, the mildest first. The JSON names of its fields are part of
// the keys under which results of experiments are stored, and must not change.
type Policy struct {
	Name           string
	Levels         []Level                      // by number, from 1
	Smoothing      [signalCount]monotime.Micros `json:"Smooth"` // by signal: time constant of the smoothing; 0: none
	ChangeInterval monotime.Micros              `json:"Every"`  // shortest time between two changes of a level
	RecoveryRamp   monotime.Micros              `json:"Ramp"`   // time over which a level is left; 0: at once
	MaxOverride    monotime.Micros              `json:"Pins"`   // longest duration of an override
}

// Level is one level of reduced service. Its rules apply in addition to those of all milder levels.
type Level struct {
	Name        string
	Enter       Condition       // the level is entered when it is met
	Exit        Condition       // the level is left when it is met
	MinDuration monotime.Micros `json:"Stay"` // shortest time in force
	Shed        []Rule
	place       sexpr.Place // in the policy file
}

// Condition is met if all of its terms hold or, with Any, if at least one does.
type Condition struct {
	Any   bool // one term suffices
	Terms []Term
}

// Term compares a signal with a threshold. It holds once the signal has been at or above Value (in an entry condition)
// or below it (in an exit condition) for a time without interruption.
type Term struct {
	Signal Signal
	Value  float64
	For    monotime.Micros // 0: at once
}

// Rule sheds a share of the requests that match all of its other fields.
type Rule struct {
	Operations []string        // empty: all
	Tenants    []string        // empty: all
	RankBelow  float64         // upper bound of the priority, exclusive; 1: all
	CostAbove  monotime.Micros // lower bound of the expected work, inclusive; 0: all
	Share      float64         // fraction to shed, above 0 and at most 1
}

// LevelName returns the name of the level with a number, 0 for full service.
func (p *Policy) LevelName(number int) string {
	if number == 0 {
		return fullService
	}
	return p.Levels[number-1].Name
}

// levelNumber returns the number of the level with a name, or 0 if the policy has none.
func (p *Policy) levelNumber(name string) int {
	return slices.IndexFunc(p.Levels, func(level Level) bool { return level.Name == name }) + 1
}

// SignalsUsed returns the signals that the policy's conditions use, without duplicates.
func (p *Policy) SignalsUsed() (used []Signal) {
	for s := range signalCount {
		usesSignal := func(level Level) bool { return level.Enter.uses(s) || level.Exit.uses(s) }
		if slices.ContainsFunc(p.Levels, usesSignal) {
			used = append(used, s)
		}
	}
	return used
}

// threshold returns the threshold of the first term for a signal; ok is false if there is no such term.
func (c Condition) threshold(s Signal) (value float64, ok bool) {
	for _, term := range c.Terms {
		if term.Signal == s {
			return term.Value, true
		}
	}
	return 0, false
}

// uses reports whether any term compares the signal.
func (c Condition) uses(s Signal) bool {
	_, ok := c.threshold(s)
	return ok
}

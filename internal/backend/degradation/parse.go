package degradation

import (
	"fmt"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// Defaults and bounds of the fields of a policy file.
const (
	defaultChangeInterval = time.Minute
	defaultRecoveryRamp   = 20 * time.Second
	defaultMaxOverride    = time.Hour
	maxMaxOverride        = 24 * time.Hour
	defaultSmoothing      = time.Second
	defaultMinDuration    = time.Minute
	maxSpan               = time.Hour // of all durations except max-override
	minRuleShare          = 0.01
	maxTermValue          = 1000 // largest threshold of a term
	maxTermArgs           = 2    // threshold and duration
)

// ParsePolicy parses and validates a policy, the S-expression (degradation ...). Errors and warnings name the source as
// file. The error joins all problems found. Each former name in the file is accepted with a warning.
func ParsePolicy(file string, src []byte) (*Policy, []sexpr.Warning, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, nil, err
	}
	warnings := formerPolicyNames.Update(file, nodes)
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "degradation" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted exactly one list, (degradation ...)")
		return nil, warnings, errs.Err()
	}
	policy := parsePolicyForm(forms[0])
	policy.validate(errs)
	return policy, warnings, errs.Err()
}

// parsePolicyForm parses (degradation NAME ...).
func parsePolicyForm(f *sexpr.Form) *Policy {
	policy := &Policy{
		Name:           f.Arg(),
		ChangeInterval: monotime.FromDuration(f.Span("change-interval", time.Second, maxSpan, defaultChangeInterval)),
		RecoveryRamp:   monotime.FromDuration(f.Span("recovery-ramp", 0, maxSpan, defaultRecoveryRamp)),
		MaxOverride:    monotime.FromDuration(f.Span("max-override", time.Second, maxMaxOverride, defaultMaxOverride)),
	}
	for s := range policy.Smoothing {
		policy.Smoothing[s] = monotime.FromDuration(defaultSmoothing)
	}
	if smoothing := f.Field("smoothing"); smoothing != nil {
		for s, name := range policySignalNames {
			policy.Smoothing[s] = monotime.FromDuration(smoothing.Span(name, 0, maxSpan, defaultSmoothing))
		}
		smoothing.Done()
	}
	for _, level := range f.All("level") {
		policy.Levels = append(policy.Levels, parseLevel(level))
	}
	f.Done()
	if n := len(policy.Levels); n == 0 || n > MaxLevels {
		f.Fail("", "found %d levels, wanted 1 to %d", n, MaxLevels)
	}
	return policy
}

// parseLevel parses (level NAME ...).
func parseLevel(f *sexpr.Form) Level {
	level := Level{
		Name:        f.Arg(),
		place:       f.Place,
		MinDuration: monotime.FromDuration(f.Span("min-duration", time.Second, maxSpan, defaultMinDuration)),
		Enter:       parseCondition(f, "enter"),
		Exit:        parseCondition(f, "exit"),
	}
	for _, rule := range f.All("shed") {
		level.Shed = append(level.Shed, Rule{
			Operations: rule.Words("operations"),
			Tenants:    rule.Words("tenants"),
			RankBelow:  rule.Share("priority-below", 0, 1, 1),
			CostAbove:  monotime.FromDuration(rule.Span("cost-above", 0, maxSpan, 0)),
			Share:      rule.Share("share", minRuleShare, 1, 1),
		})
		rule.Done()
	}
	if n := len(level.Shed); n == 0 || n > MaxRules {
		f.Fail("", "found %d shed rules, wanted 1 to %d", n, MaxRules)
	}
	f.Done()
	return level
}

// parseCondition parses a condition field: a single term, such as (exit (queue 1.2)), or terms combined by any or all,
// such as (enter (any (queue 1.8 2s) (late 0.1 2s))).
func parseCondition(f *sexpr.Form, name string) (c Condition) {
	condition := f.Field(name)
	if condition == nil {
		f.Fail("", "%s: missing", name)
		return c
	}
	terms := condition
	for _, combination := range []string{"any", "all"} {
		if sub := condition.Field(combination); sub != nil {
			terms = sub
			c.Any = combination == "any"
		}
	}
	for s, signal := range policySignalNames {
		for _, term := range terms.All(signal) {
			c.Terms = append(c.Terms, parseTerm(term, Signal(s)))
		}
	}
	if terms != condition {
		terms.Done()
	}
	condition.Done()
	if n := len(c.Terms); n == 0 || n > MaxTerms {
		condition.Fail("", "found %d terms, wanted 1 to %d", n, MaxTerms)
	}
	return c
}

// parseTerm parses a term: a signal, a threshold and optionally a duration, such as (queue 1.8) or (queue 1.8 2s).
func parseTerm(f *sexpr.Form, signal Signal) Term {
	args := f.Args(1, maxTermArgs)
	term := Term{Signal: signal}
	_, err := fmt.Sscanf(strings.Join(args[:min(1, len(args))], ""), "%g", &term.Value)
	if err != nil || !(term.Value >= 0 && term.Value <= maxTermValue) {
		f.Fail("", "found %q, wanted VALUE or VALUE DURATION with a value from 0 to %d",
			strings.Join(args, " "), maxTermValue)
	}
	if len(args) == maxTermArgs {
		duration, err := time.ParseDuration(args[1])
		if err != nil || duration < 0 || duration > maxSpan {
			f.Fail("", "found %q, wanted a duration from 0 to %v", args[1], maxSpan)
		}
		term.For = monotime.FromDuration(duration)
	}
	f.Done()
	return term
}

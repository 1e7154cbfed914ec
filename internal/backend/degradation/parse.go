package degradation

import (
	"fmt"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

const hour = time.Hour

// ParsePolicy parses and validates a policy, the S-expression (ladder ...); file is its name in errors. The error joins
// all faults that were found.
func ParsePolicy(file string, src []byte) (*Policy, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "ladder" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted one list that begins with ladder")
		return nil, errs.Err()
	}
	f := forms[0]
	p := &Policy{
		Name:           f.Arg(),
		ChangeInterval: monotime.FromDuration(f.Span("every", time.Second, hour, time.Minute)),
		RecoveryRamp:   monotime.FromDuration(f.Span("ramp", 0, hour, 20*time.Second)),
		MaxOverride:    monotime.FromDuration(f.Span("pins", time.Second, 24*hour, hour)),
	}
	for s := range p.Smoothing {
		p.Smoothing[s] = monotime.FromDuration(time.Second)
	}
	if smoothing := f.Field("smooth"); smoothing != nil {
		for s, name := range signalNames {
			p.Smoothing[s] = monotime.FromDuration(smoothing.Span(name, 0, hour, time.Second))
		}
		smoothing.Done()
	}
	for _, form := range f.All("level") {
		p.Levels = append(p.Levels, readLevel(form))
	}
	f.Done()
	if n := len(p.Levels); n == 0 || n > MaxLevels {
		f.Fail("", "found %d levels, wanted 1 to %d", n, MaxLevels)
	}
	p.validate(errs)
	return p, errs.Err()
}

func readLevel(f *sexpr.Form) Level {
	level := Level{Name: f.Arg(), place: f.Place, MinDuration: monotime.FromDuration(f.Span("stay", time.Second, hour, time.Minute))}
	level.Enter, level.Exit = readCondition(f, "enter"), readCondition(f, "exit")
	for _, s := range f.All("shed") {
		level.Shed = append(level.Shed, Rule{
			Operations: s.Words("operations"), Tenants: s.Words("tenants"), RankBelow: s.Share("rank-below", 0, 1, 1),
			CostAbove: monotime.FromDuration(s.Span("cost-above", 0, hour, 0)), Share: s.Share("share", 0.01, 1, 1),
		})
		s.Done()
	}
	if n := len(level.Shed); n == 0 || n > MaxRules {
		f.Fail("", "sheds by %d rules, wanted 1 to %d", n, MaxRules)
	}
	f.Done()
	return level
}

// maxTermValue is the largest value that a term may compare a signal with.
const maxTermValue = 1000

// readCondition reads (enter (any (queue 1.8 2s) (late 0.1 2s))), or with all, or with one term alone.
func readCondition(f *sexpr.Form, name string) (c Condition) {
	condition := f.Field(name)
	if condition == nil {
		f.Fail("", "%s: missing", name)
		return c
	}
	terms := condition
	for _, combination := range []string{"any", "all"} {
		if sub := condition.Field(combination); sub != nil {
			terms, c.Any = sub, combination == "any"
		}
	}
	for s, signal := range signalNames {
		for _, term := range terms.All(signal) {
			c.Terms = append(c.Terms, readTerm(term, Signal(s)))
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

// readTerm reads a value and perhaps a time.
func readTerm(f *sexpr.Form, signal Signal) Term {
	args := f.Args(1, 2)
	term := Term{Signal: signal}
	_, err := fmt.Sscanf(strings.Join(args[:min(1, len(args))], ""), "%g", &term.Value)
	if err != nil || !(term.Value >= 0 && term.Value <= maxTermValue) {
		f.Fail("", "found %q, wanted a value from 0 to %d and perhaps a time", strings.Join(args, " "), maxTermValue)
	}
	if len(args) == 2 {
		span, err := time.ParseDuration(args[1])
		if err != nil || span < 0 || span > hour {
			f.Fail("", "found %q, wanted a time up to %v", args[1], hour)
		}
		term.For = monotime.FromDuration(span)
	}
	f.Done()
	return term
}

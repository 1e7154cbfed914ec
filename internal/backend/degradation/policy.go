// Package degradation decides by which named step service is reduced: from measured signals to a level, and from a level
// to whether one invocation is shed. It does no I/O and holds no clock. Operations and tenants are data of the
// ladder; nothing here acts on a name of its own.
package degradation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
)

// Micros is a point of time, or a span, in whole microseconds.
type Micros int64

// Signal is something measured that a condition may speak of.
type Signal int

// The signals; each grows with trouble. Their units are in Signals.
const (
	Queue      Signal = iota // wanting a core, by core
	Cores                    // part of the cores in use, 0 to 1
	Rejected                 // part of the arrivals throttled, sheds of a level left out
	Infeasible               // part of the arrivals given up because they could not end in time
	Late                     // part of the answers past their latency objective
	Retries                  // part of the arrivals that are retries
	Memory                   // part of the memory held
	Unknown                  // 1 while the gauges are not known
	WarmingUp                // 1 while the farm warms up
	Draining                 // 1 once the notice has come
	signalCount
)

var signalNames = [signalCount]string{"queue", "cores", "turned", "hopeless", "late", "retries", "memory", "unknown", "cold", "draining"}

func (s Signal) String() string { return signalNames[s] }

// Missing stands for a signal that is not known. It is never zero: a condition that speaks of it is neither met nor
// broken, so it neither enters a level nor leaves one.
var Missing = math.NaN()

// Signals are one reading of all.
type Signals [signalCount]float64

// Policy is a list of levels, the mildest first. Its tags are the names by which it has always been printed and by which
// stored results of experiments are found.
type Policy struct {
	Name           string
	Levels         []Level
	Smoothing      [signalCount]Micros `json:"Smooth"` // time constant of each signal
	ChangeInterval Micros              `json:"Every"`  // at most one change of a level in so long, a collapse excepted
	RecoveryRamp   Micros              `json:"Ramp"`   // leaving a level takes so long: what was shed comes back bit by bit
	MaxOverride    Micros              `json:"Pins"`   // the longest that a person may hold a level
}

// Level is one step of reduced service. What milder levels shed is shed too.
type Level struct {
	Name        string
	Enter, Exit Condition
	MinDuration Micros `json:"Stay"` // at least so long
	Shed        []Rule
	place       sexpr.Place
}

// Condition is a list of terms of which all must hold, or any.
type Condition struct {
	Any   bool
	Terms []Term
}

// Term compares a signal with a value, for a span without a break.
type Term struct {
	Signal Signal
	Value  float64
	For    Micros
}

// Rule says what is shed: what matches all that it names.
type Rule struct {
	Operations []string // empty: all
	Tenants    []string // empty: all
	RankBelow  float64  // 1: all ranks
	CostAbove  Micros   // expected work; 0: any
	Share      float64  // so much of it, above 0 to 1
}

// Bounds of a ladder's file; beyond them it is refused.
const (
	MaxLevels = 8
	MaxRules  = 16
	MaxTerms  = 8
)

const hour = time.Hour

// ParsePolicy reads and checks a ladder; file is its name in errors. The error joins all that is wrong.
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
	micros := func(d time.Duration) Micros { return Micros(d.Microseconds()) }
	l := &Policy{
		Name:           f.Arg(),
		ChangeInterval: micros(f.Span("every", time.Second, hour, time.Minute)),
		RecoveryRamp:   micros(f.Span("ramp", 0, hour, 20*time.Second)),
		MaxOverride:    micros(f.Span("pins", time.Second, 24*hour, hour)),
	}
	for s := range l.Smoothing {
		l.Smoothing[s] = micros(time.Second)
	}
	if sm := f.Field("smooth"); sm != nil {
		for s, name := range signalNames {
			l.Smoothing[s] = micros(sm.Span(name, 0, hour, time.Second))
		}
		sm.Done()
	}
	for _, lf := range f.All("level") {
		l.Levels = append(l.Levels, readLevel(lf))
	}
	f.Done()
	if n := len(l.Levels); n == 0 || n > MaxLevels {
		f.Fail("", "found %d levels, wanted 1 to %d", n, MaxLevels)
	}
	l.validate(f, errs)
	return l, errs.Err()
}

func readLevel(f *sexpr.Form) Level {
	v := Level{Name: f.Arg(), place: f.Place, MinDuration: Micros(f.Span("stay", time.Second, hour, time.Minute).Microseconds())}
	v.Enter, v.Exit = readCondition(f, "enter"), readCondition(f, "exit")
	for _, s := range f.All("shed") {
		v.Shed = append(v.Shed, Rule{
			Operations: s.Words("operations"), Tenants: s.Words("tenants"), RankBelow: s.Share("rank-below", 0, 1, 1),
			CostAbove: Micros(s.Span("cost-above", 0, hour, 0).Microseconds()), Share: s.Share("share", 0.01, 1, 1),
		})
		s.Done()
	}
	if n := len(v.Shed); n == 0 || n > MaxRules {
		f.Fail("", "sheds by %d rules, wanted 1 to %d", n, MaxRules)
	}
	f.Done()
	return v
}

// readCondition reads (enter (any (queue 1.8 2s) (late 0.1 2s))), or with all, or with one term alone.
func readCondition(f *sexpr.Form, name string) (c Condition) {
	cf := f.Field(name)
	if cf == nil {
		f.Fail("", "%s: missing", name)
		return c
	}
	terms := cf
	for _, word := range []string{"any", "all"} {
		if sub := cf.Field(word); sub != nil {
			terms, c.Any = sub, word == "any"
		}
	}
	for s, word := range signalNames {
		for _, t := range terms.All(word) {
			words := t.Args(1, 2)
			term := Term{Signal: Signal(s)}
			if _, err := fmt.Sscanf(strings.Join(words[:min(1, len(words))], ""), "%g", &term.Value); err != nil || !(term.Value >= 0 && term.Value <= 1000) {
				t.Fail("", "found %q, wanted a value from 0 to 1000 and perhaps a time", strings.Join(words, " "))
			}
			if len(words) == 2 {
				d, err := time.ParseDuration(words[1])
				if err != nil || d < 0 || d > hour {
					t.Fail("", "found %q, wanted a time up to %v", words[1], hour)
				}
				term.For = Micros(d.Microseconds())
			}
			t.Done()
			c.Terms = append(c.Terms, term)
		}
	}
	if terms != cf {
		terms.Done()
	}
	cf.Done()
	if n := len(c.Terms); n == 0 || n > MaxTerms {
		cf.Fail("", "found %d terms, wanted 1 to %d", n, MaxTerms)
	}
	return c
}

// threshold of a signal in a condition, if it speaks of it.
func (c Condition) threshold(s Signal) (float64, bool) {
	for _, t := range c.Terms {
		if t.Signal == s {
			return t.Value, true
		}
	}
	return 0, false
}

// validate tells of a ladder that can't work.
func (l *Policy) validate(f *sexpr.Form, errs *sexpr.Errors) {
	seen := map[string]bool{"full": true}
	for i, v := range l.Levels {
		fail := func(what string, args ...any) { errs.Add(v.place, "ladder.level "+v.Name, what, args...) }
		if seen[v.Name] {
			fail("this name stands twice, or is the name of full service")
		}
		seen[v.Name] = true
		shared := false
		for _, out := range v.Exit.Terms {
			in, both := v.Enter.threshold(out.Signal)
			shared = shared || both
			switch {
			case both && out.Value >= in:
				fail("exit: %s below %v lies at or above its entry at %v: it would swing", out.Signal, out.Value, in)
			case both && out.Value > 0.9*in:
				fail("exit: %s below %v is within a tenth of its entry at %v: that is no hysteresis", out.Signal, out.Value, in)
			}
		}
		if !shared && len(v.Enter.Terms) > 0 && len(v.Exit.Terms) > 0 {
			fail("exit: speaks of no signal by which the level is entered: it would be left and entered again at once")
		}
		if !v.Enter.Any && !slices.ContainsFunc(v.Enter.Terms, func(t Term) bool { return t.Signal != WarmingUp && t.Signal != Draining }) {
			fail("enter: is met by every start or stop")
		}
		if i == 0 {
			continue
		}
		milder := l.Levels[i-1]
		for _, t := range v.Enter.Terms {
			if m, both := milder.Enter.threshold(t.Signal); both && t.Value < m {
				fail("enter: %s at %v lies below that of %s at %v: the milder level could not be reached", t.Signal, t.Value, milder.Name, m)
			}
		}
	}
}

// Explain says in words what the ladder does.
func (l *Policy) Explain() string {
	var b strings.Builder
	span := func(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }
	fmt.Fprintf(&b, "ladder %s: %d levels; at most one change of a level in %v, a collapse excepted; a level is left over %v\n",
		l.Name, len(l.Levels), span(l.ChangeInterval), span(l.RecoveryRamp))
	for i, v := range l.Levels {
		fmt.Fprintf(&b, "%d. %s\n   entered when %s\n   left when %s, after %v at least\n", i+1, v.Name,
			v.Enter.describe("at or above"), v.Exit.describe("below"), span(v.MinDuration))
		for _, r := range v.Shed {
			fmt.Fprintf(&b, "   sheds %s\n", r.describe())
		}
	}
	return b.String()
}

func (c Condition) describe(how string) string {
	var parts []string
	for _, t := range c.Terms {
		text := fmt.Sprintf("%s is %s %v", t.Signal, how, t.Value)
		if t.For > 0 {
			text += fmt.Sprintf(" for %v", time.Duration(t.For)*time.Microsecond)
		}
		parts = append(parts, text)
	}
	if c.Any {
		return strings.Join(parts, ", or ")
	}
	return strings.Join(parts, ", and ")
}

func (r Rule) describe() string {
	parts := []string{"everything"}
	if r.Share < 1 {
		parts[0] = fmt.Sprintf("%.0f%% of everything", 100*r.Share)
	}
	if len(r.Operations) > 0 {
		parts = append(parts, "of "+strings.Join(r.Operations, ", "))
	}
	if len(r.Tenants) > 0 {
		parts = append(parts, "from "+strings.Join(r.Tenants, ", "))
	}
	if r.RankBelow < 1 {
		parts = append(parts, fmt.Sprintf("of a rank below %v", r.RankBelow))
	}
	if r.CostAbove > 0 {
		parts = append(parts, fmt.Sprintf("with more than %v of work to expect", time.Duration(r.CostAbove)*time.Microsecond))
	}
	return strings.Join(parts, " ")
}

// SignalsUsed lists the signals that its conditions name, each once.
func (l *Policy) SignalsUsed() (all []Signal) {
	for s := range signalCount {
		for _, v := range l.Levels {
			_, in := v.Enter.threshold(s)
			_, out := v.Exit.threshold(s)
			if (in || out) && !slices.Contains(all, s) {
				all = append(all, s)
			}
		}
	}
	return all
}

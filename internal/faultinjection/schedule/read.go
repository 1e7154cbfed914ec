package schedule

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
)

// Read reads a schedule's file. The error joins all that is wrong, each an *sexpr.Error with its place.
func Read(file string, src []byte) (*Schedule, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "trial" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted one list that begins with trial")
		return nil, errs.Err()
	}
	return readTrial(forms[0]), errs.Err()
}

func readTrial(f *sexpr.Form) *Schedule {
	s := &Schedule{
		Name:          f.Arg(),
		Seed:          uint64(f.Int("seed", 0, 1<<62, 1)),
		Hosts:         f.Int("hosts", 1, MaxHosts, 5),
		Backends:      f.Int("backends", 1, MaxBackends, 20),
		Span:          f.Span("span", time.Second, maxSpan, time.Minute),
		Load:          f.Share("load", 0, 4, 0.3),
		Skew:          f.Int("skew", 0, 45_000, 0),
		RollingUpdate: f.Span("wave", 0, maxSpan, 0),
	}
	for _, kind := range append(Kinds(), CrashPoint) {
		for _, sub := range f.All(string(kind)) {
			s.Faults = append(s.Faults, s.readFault(kind, sub))
		}
	}
	if sub := f.Field("cold"); sub != nil {
		s.ColdStart = readColdStart(sub)
	}
	f.Done()
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

func (s *Schedule) readFault(kind Kind, form *sexpr.Form) Fault {
	f := Fault{
		Kind:     kind,
		At:       form.Span("at", 0, maxSpan, 0),
		Duration: form.Span("for", 0, maxSpan, 0),
		Offset:   form.Span("by", 0, maxSpan, 0),
		Value:    form.Int("to", 0, 1<<30, 0),
	}
	targets := form.All("on")
	names := make([]string, 0, len(targets))
	for _, on := range targets {
		names = append(names, on.Arg())
		on.Done()
	}
	if s.checkTargets(kind, names, form) {
		f.setTargets(names)
	}
	form.Done()
	return f
}

// checkTargets notes with the form what is wrong with the names of a fault; false: something is.
func (s *Schedule) checkTargets(kind Kind, names []string, form *sexpr.Form) bool {
	targets := kind.targets()
	if len(names) != len(targets) {
		words := make([]string, 0, len(targets))
		for _, target := range targets {
			words = append(words, string(target))
		}
		form.Fail("on", "found %d of them, wanted %d: %s", len(names), len(targets), strings.Join(words, ", "))
		return false
	}
	for i, target := range targets {
		switch {
		case target == hostTarget && !isNumbered(names[i], "h", s.Hosts):
			form.Fail("on", "%q is no host from h1 to h%d", names[i], s.Hosts)
			return false
		case target == backendTarget && !isNumbered(names[i], "n", s.Backends):
			form.Fail("on", "%q is no backend from n1 to n%d", names[i], s.Backends)
			return false
		}
	}
	return true
}

// isNumbered reports whether a name is a prefix and a number from 1 to the last, written as the harness writes it.
func isNumbered(name, prefix string, last int) bool {
	number, found := strings.CutPrefix(name, prefix)
	n, err := strconv.Atoi(number)
	return found && err == nil && n >= 1 && n <= last && strconv.Itoa(n) == number
}

// setTargets takes names that are as many as the kind has.
func (f *Fault) setTargets(names []string) {
	for i, target := range f.Kind.targets() {
		switch {
		case target == nameTarget:
			f.Name = names[i]
		case i == 0:
			f.Target = names[i]
		default:
			f.Peer = names[i]
		}
	}
}

package schedule

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/sexpr"
)

const (
	maxSeed  int     = 1 << 62
	maxLoad  float64 = 4       // fraction of the backends' capacity
	maxSkew  int     = 45_000  // parts per million
	maxValue int     = 1 << 30 // bytes per second, or units of a total
)

// Defaults of fields that a file omits.
const (
	defaultSeed     int           = 1
	defaultHosts    int           = 5
	defaultBackends int           = 20
	defaultSpan     time.Duration = time.Minute
	defaultLoad     float64       = 0.3
)

// Read reads a schedule's file. The error joins an *sexpr.Error with its place for each fault in the file.
func Read(file string, src []byte) (*Schedule, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "trial" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "expected exactly one list that begins with trial")
		return nil, errs.Err()
	}
	return readTrial(forms[0]), errs.Err()
}

// readTrial reads the form trial.
func readTrial(f *sexpr.Form) *Schedule {
	s := &Schedule{
		Name:          f.Arg(),
		Seed:          uint64(f.Int("seed", 0, maxSeed, defaultSeed)),
		Hosts:         f.Int("hosts", 1, MaxHosts, defaultHosts),
		Backends:      f.Int("backends", 1, MaxBackends, defaultBackends),
		Span:          f.Span("span", time.Second, maxSpan, defaultSpan),
		Load:          f.Share("load", 0, maxLoad, defaultLoad),
		Skew:          f.Int("skew", 0, maxSkew, 0),
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

// readFault reads the form of a fault. Invalid targets are left out and reported as errors of the form.
func (s *Schedule) readFault(kind Kind, form *sexpr.Form) Fault {
	f := Fault{
		Kind:     kind,
		At:       form.Span("at", 0, maxSpan, 0),
		Duration: form.Span("for", 0, maxSpan, 0),
		Offset:   form.Span("by", 0, maxSpan, 0),
		Value:    form.Int("to", 0, maxValue, 0),
	}
	targets := form.All("on")
	names := make([]string, 0, len(targets))
	for _, on := range targets {
		names = append(names, on.Arg())
		on.Done()
	}
	if s.checkTargets(kind, names, form) {
		f = f.withTargets(names)
	}
	form.Done()
	return f
}

// checkTargets reports whether the names are valid targets of the kind, and adds an error to the form if not.
func (s *Schedule) checkTargets(kind Kind, names []string, form *sexpr.Form) bool {
	targets := kind.targets()
	if len(names) != len(targets) {
		words := make([]string, 0, len(targets))
		for _, target := range targets {
			words = append(words, string(target))
		}
		form.Fail("on", "names: %d, expected %d: %s", len(names), len(targets), strings.Join(words, ", "))
		return false
	}
	for i, target := range targets {
		switch {
		case target == hostTarget && !isNumbered(names[i], hostPrefix, s.Hosts):
			form.Fail("on", "unknown host %q, expected h1 to h%d", names[i], s.Hosts)
			return false
		case target == backendTarget && !isNumbered(names[i], backendPrefix, s.Backends):
			form.Fail("on", "unknown backend %q, expected n1 to n%d", names[i], s.Backends)
			return false
		}
	}
	return true
}

// isNumbered reports whether a name is the prefix and a number from 1 to maximum without sign or leading zeros.
func isNumbered(name, prefix string, maximum int) bool {
	digits, found := strings.CutPrefix(name, prefix)
	number, err := strconv.Atoi(digits)
	return found && err == nil && number >= 1 && number <= maximum && strconv.Itoa(number) == digits
}

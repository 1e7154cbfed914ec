package experiment

import (
	"slices"
	"strconv"
	"strings"

	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// sweepableFields has a setter for each field that an experiment can sweep, by its name in a file.
var sweepableFields = map[string]func(s *simulation.Scenario, value float64){
	"load.at":        func(s *simulation.Scenario, value float64) { s.Load.Level = value },
	"size":           resize,
	"hosts.count":    func(s *simulation.Scenario, value float64) { s.Hosts.Count = int(value) },
	"nodes.count":    func(s *simulation.Scenario, value float64) { s.Nodes.Count = int(value) },
	"nodes.deaf":     func(s *simulation.Scenario, value float64) { s.Nodes.UnresponsiveShare = value },
	"nodes.tries":    func(s *simulation.Scenario, value float64) { s.Nodes.MaxAttempts = int(value) },
	"nodes.subset":   func(s *simulation.Scenario, value float64) { s.Nodes.Subset = int(value) },
	"nodes.behind":   func(s *simulation.Scenario, value float64) { s.Nodes.ClientRetryShare = value },
	"register.lag":   func(s *simulation.Scenario, value float64) { s.Registry.Lag = fromSeconds(value) },
	"trouble.factor": setFaultFactor,
	"trouble.share":  setFaultShare,
}

// fromSeconds converts seconds, truncating them to whole microseconds.
func fromSeconds(seconds float64) monotime.Micros {
	return monotime.Micros(seconds * float64(monotime.Second))
}

// resize sets the number of hosts, and scales nodes, dependency slots and quotas in proportion.
func resize(s *simulation.Scenario, hosts float64) {
	factor := hosts / float64(s.Hosts.Count)
	s.Nodes.Count = scaledCount(s.Nodes.Count, factor)
	s.Dependency.Slots = scaledCount(s.Dependency.Slots, factor)
	s.Hosts.Count = int(hosts)
	for i := range s.Tenants {
		s.Tenants[i].Quota *= factor
	}
}

// scaledCount returns the count times the factor, rounded to the nearest whole number, at least one.
func scaledCount(count int, factor float64) int {
	const half = 0.5 // rounds to the nearest
	return max(1, int(float64(count)*factor+half))
}

func setFaultFactor(s *simulation.Scenario, factor float64) {
	s.Faults = slices.Clone(s.Faults)
	for i := range s.Faults {
		s.Faults[i].Factor = factor
	}
}

func setFaultShare(s *simulation.Scenario, share float64) {
	s.Faults = slices.Clone(s.Faults)
	for i := range s.Faults {
		s.Faults[i].Share = share
	}
}

// setSwept sets the swept field of a scenario; an empty field sets nothing. It changes the tenants in place and
// replaces the faults. The error is an *UnsweepableError or a *simulation.ScenarioError.
func setSwept(s *simulation.Scenario, field string, value float64) error {
	if field != "" {
		set, known := sweepableFields[field]
		if !known {
			return &UnsweepableError{Field: field}
		}
		set(s, value)
	}
	return s.Check()
}

// Sweep replaces the swept field and values of the file with those of a text NAME=VALUE,VALUE... The error is a
// *SweepError, or that of Cells.
func (x *Experiment) Sweep(text string) error {
	name, list, ok := strings.Cut(text, "=")
	if !ok {
		return &SweepError{Text: text, Wanted: "NAME=VALUE,VALUE..."}
	}
	x.SweptField = name
	x.SweptValues = nil
	for word := range strings.SplitSeq(list, ",") {
		value, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return &SweepError{Text: word, Wanted: "a number"}
		}
		x.SweptValues = append(x.SweptValues, value)
	}
	_, err := x.Cells()
	return err
}

// readSweep reads the swept field and its values.
func (x *Experiment) readSweep(f *sexpr.Form) {
	over := f.Field("over")
	if over == nil {
		return
	}
	x.SweptField = over.Arg()
	for _, word := range over.Words("values") {
		value, err := strconv.ParseFloat(word, 64)
		if err != nil {
			over.Fail("values", "found %q, wanted a number", word)
		}
		x.SweptValues = append(x.SweptValues, value)
	}
	over.Done()
	if len(x.SweptValues) == 0 || len(x.SweptValues) > MaxValues {
		over.Fail("values", "found %d, wanted 1 to %d", len(x.SweptValues), MaxValues)
	}
}

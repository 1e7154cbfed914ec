package experiment

import (
	"slices"
	"strconv"
	"strings"

	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// setSwept gives a scenario one value of the swept field. The error is an *UnsweepableError or a *simulation.ScenarioError.
func setSwept(s *simulation.Scenario, over string, v float64) error {
	count := int(v)
	switch over {
	case "":
	case "load.at":
		s.Load.Level = v
	case "hosts.count":
		s.Hosts.Count = count
	case "nodes.count":
		s.Nodes.Count = count
	case "size": // hosts, with nodes, and what they share, in proportion
		part := v / float64(s.Hosts.Count)
		s.Nodes.Count = max(1, int(float64(s.Nodes.Count)*part+0.5))
		s.Dependency.Slots = max(1, int(float64(s.Dependency.Slots)*part+0.5))
		s.Hosts.Count = count
		for i := range s.Tenants {
			s.Tenants[i].Quota *= part
		}
	case "nodes.deaf":
		s.Nodes.UnresponsiveShare = v
	case "nodes.tries":
		s.Nodes.MaxAttempts = count
	case "nodes.subset":
		s.Nodes.Subset = count
	case "nodes.behind":
		s.Nodes.ClientRetryShare = v
	case "register.lag":
		s.Registry.Lag = monotime.Micros(v * 1e6)
	case "trouble.factor":
		s.Faults = slices.Clone(s.Faults)
		for i := range s.Faults {
			s.Faults[i].Factor = v
		}
	case "trouble.share":
		s.Faults = slices.Clone(s.Faults)
		for i := range s.Faults {
			s.Faults[i].Share = v
		}
	default:
		return &UnsweepableError{Field: over}
	}
	return s.Check()
}

// Sweep replaces what the file sweeps, by NAME=VALUE,VALUE... The error is a *SweepError, or that of Cells.
func (x *Experiment) Sweep(text string) error {
	name, list, ok := strings.Cut(text, "=")
	if !ok {
		return &SweepError{Text: text, Wanted: "NAME=VALUE,VALUE"}
	}
	x.SweptField, x.SweptValues = name, nil
	for _, w := range strings.Split(list, ",") {
		v, err := strconv.ParseFloat(w, 64)
		if err != nil {
			return &SweepError{Text: w, Wanted: "a number"}
		}
		x.SweptValues = append(x.SweptValues, v)
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
	for _, w := range over.Words("values") {
		v, err := strconv.ParseFloat(w, 64)
		if err != nil {
			over.Fail("values", "found %q, wanted a number", w)
		}
		x.SweptValues = append(x.SweptValues, v)
	}
	over.Done()
	if len(x.SweptValues) == 0 || len(x.SweptValues) > MaxValues {
		over.Fail("values", "found %d, wanted 1 to %d", len(x.SweptValues), MaxValues)
	}
}

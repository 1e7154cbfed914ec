package experiment

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
)

// Read reads an experiment's file: any number of scenario and policy forms, and one (experiment NAME ...). Files that
// it names are relative to its directory. Syntax errors are sexpr's, with line and column.
func Read(file string) (*Experiment, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse is Read for a file in memory; file is its name.
func Parse(file string, src []byte) (*Experiment, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	warnings := formerNames.Update(file, nodes)
	errs := &sexpr.Errors{File: file}
	d := readDefinitions(file, sexpr.Forms(nodes, errs))
	if d.experiment == nil {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "experiment", "there is none in this file")
		return nil, errs.Err()
	}
	x := &Experiment{Name: d.experiment.Arg(), Warnings: warnings}
	x.Scenarios = d.namedScenarios()
	x.Policies = d.namedPolicies()
	x.Seeds = readSeeds(d.experiment)
	x.readSweep(d.experiment)
	d.experiment.Done()
	if err := errs.Err(); err != nil {
		return nil, err
	}
	if _, err := x.Cells(); err != nil {
		d.experiment.Fail("over", "%v", err)
	}
	return x, errs.Err()
}

// definitions are the forms of one file: scenarios and policies by name, and the experiment itself.
type definitions struct {
	scenarios  map[string]simulation.Scenario
	order      []string // names of the scenarios, as in the file
	policies   map[string]*simulation.Policy
	experiment *sexpr.Form
}

// readDefinitions reads the forms of a file; what is wrong is added to their errors.
func readDefinitions(file string, forms []*sexpr.Form) *definitions {
	d := &definitions{scenarios: map[string]simulation.Scenario{}, policies: map[string]*simulation.Policy{}}
	for _, f := range forms {
		switch f.Name {
		case "scenario":
			recorded := f.Text("recorded", "")
			s := simulation.ReadScenario(f)
			if recorded != "" {
				readRecorded(f, file, recorded, &s)
			}
			if _, twice := d.scenarios[s.Name]; twice {
				f.Fail("", "scenario %s stands twice", s.Name)
			}
			d.scenarios[s.Name] = s
			d.order = append(d.order, s.Name)
		case "policy":
			p := readPolicy(f, file)
			d.policies[p.Name] = p
		case "experiment":
			if d.experiment != nil {
				f.Fail("", "a file holds one experiment")
			}
			d.experiment = f
		default:
			f.Fail("", "wanted scenario, policy or experiment")
		}
	}
	return d
}

// namedScenarios returns the scenarios that the experiment names, else all of the file.
func (d *definitions) namedScenarios() (all []simulation.Scenario) {
	names := d.experiment.Words("scenarios")
	if len(names) == 0 {
		names = d.order
	}
	for _, n := range names {
		if s, ok := d.scenarios[n]; ok {
			all = append(all, s)
		} else {
			d.experiment.Fail("scenarios", "%s is none of this file's", n)
		}
	}
	return all
}

// namedPolicies returns the policies that the experiment names, the file's own before the built-in ones; without names
// the decision module alone.
func (d *definitions) namedPolicies() (all []simulation.Policy) {
	names := d.experiment.Words("policies")
	if len(names) == 0 {
		names = []string{simulation.Module}
	}
	for _, n := range names {
		p := d.policies[n]
		if p == nil {
			var err error
			if p, err = simulation.PolicyNamed(n); err != nil {
				d.experiment.Fail("policies", "%v", err)
				continue
			}
		}
		all = append(all, *p)
	}
	return all
}

// readRecorded reads the recorded load that a scenario names.
func readRecorded(f *sexpr.Form, file, name string, s *simulation.Scenario) {
	in, err := os.Open(filepath.Join(filepath.Dir(file), name))
	if err != nil {
		f.Fail("recorded", "%v", err)
		return
	}
	defer func() { _ = in.Close() }()
	if s.Load.Recorded, err = simulation.ReadRecorded(name, in, s); err != nil {
		f.Fail("recorded", "%v", err)
		return
	}
	s.Load.Shape = simulation.Replay
}

// readPolicy reads (policy NAME (base milletbarrow) (degradation "FILE") (balance two-choices)).
func readPolicy(f *sexpr.Form, file string) *simulation.Policy {
	name := f.Arg()
	p, err := simulation.PolicyNamed(f.Text("base", simulation.Module))
	if err != nil {
		f.Fail("base", "%v", err)
		p = &simulation.Policy{}
	}
	p.Name = name
	if degradationFile := f.Text("degradation", ""); degradationFile != "" {
		raw, err := os.ReadFile(filepath.Join(filepath.Dir(file), degradationFile))
		if err == nil {
			p.Degradation, _, err = degradation.ParsePolicy(degradationFile, raw)
		}
		if err != nil {
			f.Fail("degradation", "%v", err)
		}
	}
	if b := f.OneOf("balance", "as-scenario", "round-robin", "random", "two-choices", "least-load"); b != "as-scenario" {
		way := simulation.Balance(slices.Index([]string{"round-robin", "random", "two-choices", "least-load"}, b))
		p.Balance = &way
	}
	p.QuotaSource = simulation.QuotaSourceNamed(f.OneOf("shares", simulation.QuotaSourceNames()...))
	f.Done()
	return p
}

// readSeeds reads (seeds 1 2 7) or (seeds 1..20).
func readSeeds(f *sexpr.Form) (all []uint64) {
	words := f.Words("seeds")
	if len(words) == 0 {
		return []uint64{1}
	}
	for _, w := range words {
		first, last, isRange := strings.Cut(w, "..")
		from, err := strconv.ParseUint(first, 10, 63)
		to := from
		if err == nil && isRange {
			to, err = strconv.ParseUint(last, 10, 63)
		}
		if err != nil || to < from || to-from >= MaxSeeds {
			f.Fail("seeds", "found %q, wanted a number or a range such as 1..20", w)
			return nil
		}
		for n := from; n <= to; n++ {
			all = append(all, n)
		}
	}
	if len(all) > MaxSeeds {
		f.Fail("seeds", "found %d, wanted %d at the most", len(all), MaxSeeds)
	}
	return all
}

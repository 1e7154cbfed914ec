package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
)

// Read reads an experiment's file, which has any number of scenario and policy forms and one (experiment NAME ...).
// Paths in the file are relative to its directory. Errors in the file are those of package sexpr, with line and
// column.
func Read(file string) (*Experiment, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, src)
}

// Parse parses the content of an experiment's file; file is its path. See Read.
func Parse(file string, src []byte) (*Experiment, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	warnings := formerNames.Update(file, nodes)
	errs := &sexpr.Errors{File: file}
	definitions := readDefinitions(file, sexpr.Forms(nodes, errs))
	form := definitions.experiment
	if form == nil {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "experiment", "missing, wanted one form (experiment NAME ...)")
		return nil, errs.Err()
	}
	x := &Experiment{
		Name:      form.Arg(),
		Scenarios: definitions.namedScenarios(),
		Policies:  definitions.namedPolicies(),
		Seeds:     readSeeds(form),
		Warnings:  warnings,
	}
	x.readSweep(form)
	form.Done()
	if err := errs.Err(); err != nil {
		return nil, err
	}
	if _, err := x.Cells(); err != nil {
		form.Fail("over", "%v", err)
	}
	return x, errs.Err()
}

// scenarioName is the name of a scenario in an experiment's file.
type scenarioName string

// policyName is the name of a policy in an experiment's file.
type policyName string

// definitions holds the contents of one file.
type definitions struct {
	scenarios  map[scenarioName]simulation.Scenario
	order      []string // names of the scenarios, in the order of the file
	policies   map[policyName]*simulation.Policy
	experiment *sexpr.Form // nil: the file has none
}

// readDefinitions reads the forms of a file and reports errors on the forms.
func readDefinitions(file string, forms []*sexpr.Form) *definitions {
	d := &definitions{
		scenarios: map[scenarioName]simulation.Scenario{},
		policies:  map[policyName]*simulation.Policy{},
	}
	for _, f := range forms {
		switch f.Name {
		case "scenario":
			d.addScenario(f, file)
		case "policy":
			p := readPolicy(f, file)
			d.policies[policyName(p.Name)] = p
		case "experiment":
			if d.experiment != nil {
				f.Fail("", "duplicate form, wanted one experiment per file")
			}
			d.experiment = f
		default:
			f.Fail("", "wanted scenario, policy or experiment")
		}
	}
	return d
}

// addScenario reads a scenario form and adds it.
func (d *definitions) addScenario(f *sexpr.Form, file string) {
	recorded := f.Text("recorded", "")
	s := simulation.ReadScenario(f)
	if recorded != "" {
		readRecorded(f, file, recorded, &s)
	}
	name := scenarioName(s.Name)
	if _, duplicate := d.scenarios[name]; duplicate {
		f.Fail("", "duplicate scenario %s", s.Name)
	}
	d.scenarios[name] = s
	d.order = append(d.order, s.Name)
}

// namedScenarios returns the scenarios that the experiment names, or all of the file if it names none.
func (d *definitions) namedScenarios() (all []simulation.Scenario) {
	names := d.experiment.Words("scenarios")
	if len(names) == 0 {
		names = d.order
	}
	for _, name := range names {
		s, known := d.scenarios[scenarioName(name)]
		if !known {
			d.experiment.Fail("scenarios", "found %q, wanted a scenario of this file", name)
			continue
		}
		all = append(all, s)
	}
	return all
}

// namedPolicies returns the policies that the experiment names, or the decision module if it names none. A policy of
// the file takes precedence over a built-in one of the same name.
func (d *definitions) namedPolicies() (all []simulation.Policy) {
	names := d.experiment.Words("policies")
	if len(names) == 0 {
		names = []string{simulation.Module}
	}
	for _, name := range names {
		p := d.policies[policyName(name)]
		if p == nil {
			var err error
			if p, err = simulation.PolicyNamed(name); err != nil {
				d.experiment.Fail("policies", "%v", err)
				continue
			}
		}
		all = append(all, *p)
	}
	return all
}

// readRecorded reads the recorded load of a scenario from the file of that name.
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

// asScenario is the value of a policy's balance field that keeps the balancing of the scenario.
const asScenario = "as-scenario"

// balanceNames are the names of simulation.Balance values in a file, indexed by the value.
var balanceNames = []string{"round-robin", "random", "two-choices", "least-load"}

// readPolicy reads a form such as (policy NAME (base milletbarrow) (degradation "FILE") (balance two-choices)).
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
	if word := f.OneOf("balance", append([]string{asScenario}, balanceNames...)...); word != asScenario {
		balance := simulation.Balance(slices.Index(balanceNames, word))
		p.Balance = &balance
	}
	p.QuotaSource = simulation.QuotaSourceNamed(f.OneOf("shares", simulation.QuotaSourceNames()...))
	f.Done()
	return p
}

// readSeeds reads the seeds of forms such as (seeds 1 2 7) or (seeds 1..20); without the field the only seed is 1.
func readSeeds(f *sexpr.Form) (all []uint64) {
	words := f.Words("seeds")
	if len(words) == 0 {
		return []uint64{1}
	}
	for _, word := range words {
		first, last, err := parseSeedRange(word)
		if err != nil || last < first || last-first >= MaxSeeds {
			f.Fail("seeds", "found %q, wanted a number or a range such as 1..20", word)
			return nil
		}
		for seed := first; seed <= last; seed++ {
			all = append(all, seed)
		}
	}
	if len(all) > MaxSeeds {
		f.Fail("seeds", "found %d, wanted at most %d", len(all), MaxSeeds)
	}
	return all
}

// Syntax of a seed: a decimal number of at most 63 bits, so that incrementing the last seed of a range can't overflow.
const (
	seedBase = 10
	seedBits = 63
)

// parseSeedRange parses FIRST..LAST, or one number, which is both.
func parseSeedRange(word string) (first, last uint64, err error) {
	firstWord, lastWord, isRange := strings.Cut(word, "..")
	if !isRange {
		lastWord = firstWord
	}
	if first, err = strconv.ParseUint(firstWord, seedBase, seedBits); err != nil {
		return 0, 0, fmt.Errorf("first seed: %w", err)
	}
	if last, err = strconv.ParseUint(lastWord, seedBase, seedBits); err != nil {
		return 0, 0, fmt.Errorf("last seed: %w", err)
	}
	return first, last, nil
}

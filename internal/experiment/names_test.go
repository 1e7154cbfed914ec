package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/compattest"
	"milletbarrow/internal/sexpr"
	"milletbarrow/internal/simulation"
)

// experimentWithAllNames uses every name of today that has a former one.
const experimentWithAllNames = `(experiment e (scenarios s) (policies p) (seeds 1))
(policy p (degradation "testdata/6251f7b/steady.sx"))
(scenario s (for 20s) (hosts (count 4) (reported-fleet-size 9)) (nodes (count 3) (attempts 2))
  (fault release (at 2s) (batch-share 0.3)))`

// decodedPolicy is what a file says of a policy.
type decodedPolicy struct {
	Name        string
	Degradation *degradation.Policy
}

// decoded is what a file says, without the code of its policies.
type decoded struct {
	Name        string
	Scenarios   []simulation.Scenario
	Policies    []decodedPolicy
	Seeds       []uint64
	SweptField  string
	SweptValues []float64
}

func decodedOf(x *Experiment) decoded {
	d := decoded{
		Name:        x.Name,
		Scenarios:   x.Scenarios,
		Seeds:       x.Seeds,
		SweptField:  x.SweptField,
		SweptValues: x.SweptValues,
	}
	for _, policy := range x.Policies {
		d.Policies = append(d.Policies, decodedPolicy{Name: policy.Name, Degradation: policy.Degradation})
	}
	return d
}

func TestFormerNamesInExperiment(t *testing.T) {
	compattest.FormerNames(t, formerNames, experimentWithAllNames, func(src []byte) (any, []sexpr.Warning, error) {
		x, err := Parse("experiment.sx", src)
		if err != nil {
			return nil, nil, err
		}
		return decodedOf(x), x.Warnings, nil
	})
}

// The studies as release 6251f7b had them decode to the values of today's.
func TestStudiesOfEarlierReleaseDecodeAlike(t *testing.T) {
	const earlier = "testdata/6251f7b"
	files, err := filepath.Glob(earlier + "/*.sx")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	encode := func(path string) (string, bool) {
		x, err := Read(path)
		if err != nil {
			if strings.Contains(err.Error(), "wanted scenario, policy or experiment") {
				return "", false // a degradation policy, which the studies name
			}
			t.Fatal(err)
		}
		text, err := json.MarshalIndent(decodedOf(x), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		return string(text), true
	}
	compared := 0
	for _, file := range files {
		before, isExperiment := encode(file)
		if !isExperiment {
			continue
		}
		today, _ := encode(filepath.Join("../../docs/studies", filepath.Base(file)))
		if diff := cmp.Diff(before, today); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
		compared++
	}
	if compared == 0 {
		t.Error("no experiment was compared")
	}
	if _, err := os.Stat(filepath.Join(earlier, "quarter.sx")); err != nil {
		t.Error(err)
	}
}

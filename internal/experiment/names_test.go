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

// experimentWithAllNames uses each current name that has a former one.
const experimentWithAllNames = `(experiment e (scenarios s) (policies p) (seeds 1))
(policy p (degradation "testdata/6251f7b/steady.sx"))
(scenario s (for 20s) (hosts (count 4) (reported-fleet-size 9)) (nodes (count 3) (attempts 2))
  (fault release (at 2s) (batch-share 0.3)))`

// decodedPolicy is the content of a policy form, without the functions of its base, which can't be compared.
type decodedPolicy struct {
	Name        string
	Degradation *degradation.Policy
}

// decoded is the content of an experiment's file, without the functions of its policies.
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

func TestFormerNamesDecodeAsCurrentNames(t *testing.T) {
	compattest.FormerNames(t, formerNames, experimentWithAllNames, func(src []byte) (any, []sexpr.Warning, error) {
		x, err := Parse("experiment.sx", src)
		if err != nil {
			return nil, nil, err
		}
		return decodedOf(x), x.Warnings, nil
	})
}

// TestExperimentFilesOfEarlierReleaseDecodeAlike checks that the experiment files of release 6251f7b decode to the
// same values as the current ones.
func TestExperimentFilesOfEarlierReleaseDecodeAlike(t *testing.T) {
	const earlierDir = "testdata/6251f7b"
	files, err := filepath.Glob(earlierDir + "/*.sx")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	decode := func(path string) (string, bool) {
		x, err := Read(path)
		if err != nil {
			if strings.Contains(err.Error(), "wanted scenario, policy or experiment") {
				return "", false // a degradation policy that an experiment refers to
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
		earlier, isExperiment := decode(file)
		if !isExperiment {
			continue
		}
		current, _ := decode(filepath.Join("../../docs/studies", filepath.Base(file)))
		if diff := cmp.Diff(earlier, current); diff != "" {
			t.Errorf("%s (-earlier +current):\n%s", file, diff)
		}
		compared++
	}
	if compared == 0 {
		t.Error("no experiments were compared")
	}
	if _, err := os.Stat(filepath.Join(earlierDir, "quarter.sx")); err != nil {
		t.Error(err)
	}
}

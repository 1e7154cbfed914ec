package experiment

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Facts](t, "Facts.json")
	compattest.RoundTrip[Row](t, "Row.json")
	compattest.RoundTrip[Difference](t, "Difference.json")
}

// TestEarlierResults: the results that an earlier release left are found under the same file names, read, and
// summed up and compared to the same figures.
func TestEarlierResults(t *testing.T) {
	x, err := Read(compattest.File("experiment.sx"))
	if err != nil {
		t.Fatal(err)
	}
	cells, err := x.Cells()
	if err != nil {
		t.Fatal(err)
	}
	results, missing, err := Load(x, compattest.File("results"))
	if err != nil || missing > 0 {
		t.Fatalf("%d of %d results are not found: the names of their files follow from the printed form of scenario, policy and degradation policy: %v",
			missing, len(cells), err)
	}
	compattest.SameJSON(t, "lab-check.json", compattest.Read(t, "lab-check.json"), x.Facts())
	compattest.SameJSON(t, "lab-run.json", compattest.Read(t, "lab-run.json"), Summary(cells, results))
	value, err := MeasureNamed("value")
	if err != nil {
		t.Fatal(err)
	}
	compattest.SameJSON(t, "lab-compare.json", compattest.Read(t, "lab-compare.json"), Compare(cells, results, "pool", "milletbarrow", value))
}

// TestEarlierResultsAgain: played again, each run gives the result that the earlier release wrote.
func TestEarlierResultsAgain(t *testing.T) {
	x, err := Read(compattest.File("experiment.sx"))
	if err != nil {
		t.Fatal(err)
	}
	earlier, _, err := Load(x, compattest.File("results"))
	if err != nil {
		t.Fatal(err)
	}
	again, err := Run(context.Background(), x, nil, 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range earlier {
		if earlier[i] == nil {
			t.Errorf("result %d of the earlier release is not found", i)
			continue
		}
		text, err := json.Marshal(earlier[i])
		if err != nil {
			t.Fatal(err)
		}
		compattest.SameJSON(t, again[i].Scenario+" "+again[i].Policy, text, again[i])
	}
}

// TestEarlierSimulations: twelve simulated days under four policies, two seeds each, end with the results of the
// earlier release to the byte. dozen.sha256 holds the SHA-256 of each result's JSON as that release wrote it.
func TestEarlierSimulations(t *testing.T) {
	x, err := Read(compattest.File("dozen.sx"))
	if err != nil {
		t.Fatal(err)
	}
	cells, err := x.Cells()
	if err != nil {
		t.Fatal(err)
	}
	results, err := Run(context.Background(), x, nil, 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := make([]string, 0, len(cells))
	for i, cell := range cells {
		text, err := json.Marshal(results[i])
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%s %s %d %x", cell.Scenario.Name, cell.Policy.Name, cell.Seed, sha256.Sum256(text)))
	}
	want := strings.Split(strings.TrimSpace(string(compattest.Read(t, "dozen.sha256"))), "\n")
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("scenario, policy, seed and hash of the earlier release (-), and now (+):\n%s", diff)
	}
}

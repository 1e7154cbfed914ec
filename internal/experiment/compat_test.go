package experiment

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON of an earlier release, with each field set, is decoded and encoded to the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Facts](t, "Facts.json")
	compattest.RoundTrip[Row](t, "Row.json")
	compattest.RoundTrip[Difference](t, "Difference.json")
}

// TestResultsOfEarlierReleaseAreFound checks that the stored results of an earlier release are found under the same
// file names, and that their summary and comparison are the same.
func TestResultsOfEarlierReleaseAreFound(t *testing.T) {
	x := read(t, compattest.File("experiment.sx"))
	cells := cellsOf(t, x)
	results, missing, err := Load(x, compattest.File("results"))
	if err != nil || missing > 0 {
		t.Fatalf("%d of %d results are missing: "+
			"file names follow from the printed form of scenario, policy and degradation policy: %v",
			missing, len(cells), err)
	}
	sameJSON := func(file string, value any) {
		t.Helper()
		compattest.SameJSON(t, file, compattest.Read(t, file), value)
	}
	sameJSON("lab-check.json", x.Facts())
	sameJSON("lab-run.json", Summary(cells, results))
	sameJSON("lab-compare.json", Compare(cells, results, "pool", "milletbarrow", measure(t, "value")))
}

// TestRunsReproduceResultsOfEarlierRelease checks that each run gives the stored result of the earlier release.
func TestRunsReproduceResultsOfEarlierRelease(t *testing.T) {
	x := read(t, compattest.File("experiment.sx"))
	earlier, _, err := Load(x, compattest.File("results"))
	if err != nil {
		t.Fatal(err)
	}
	results := run(t, x, nil, 2)
	for i := range earlier {
		if earlier[i] == nil {
			t.Errorf("result %d of the earlier release is missing", i)
			continue
		}
		name := results[i].Scenario + " " + results[i].Policy
		compattest.SameJSON(t, name, []byte(encode(t, earlier[i])), results[i])
	}
}

// TestRunsReproduceHashesOfEarlierRelease checks that twelve scenarios under four policies, with two seeds each, give
// results that are byte for byte those of the earlier release. dozen.sha256 has the SHA-256 of the JSON of each.
func TestRunsReproduceHashesOfEarlierRelease(t *testing.T) {
	x := read(t, compattest.File("dozen.sx"))
	cells := cellsOf(t, x)
	results := run(t, x, nil, 2)
	lines := make([]string, 0, len(cells))
	for i, cell := range cells {
		sum := sha256.Sum256([]byte(encode(t, results[i])))
		lines = append(lines, fmt.Sprintf("%s %s %d %x", cell.Scenario.Name, cell.Policy.Name, cell.Seed, sum))
	}
	want := strings.Split(strings.TrimSpace(string(compattest.Read(t, "dozen.sha256"))), "\n")
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("scenario, policy, seed and hash (-earlier release +got):\n%s", diff)
	}
}

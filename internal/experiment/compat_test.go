package experiment

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that the JSON of an earlier release, with each field set, is read and written alike.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Facts](t, "Facts.json")
	compattest.RoundTrip[Row](t, "Row.json")
	compattest.RoundTrip[Difference](t, "Difference.json")
}

// TestEarlierResults checks that the stored results of an earlier release are found under the same file names, and that
// their summary and comparison have the same figures.
func TestEarlierResults(t *testing.T) {
	x := read(t, compattest.File("experiment.sx"))
	cells := cellsOf(t, x)
	results, missing, err := Load(x, compattest.File("results"))
	if err != nil || missing > 0 {
		t.Fatalf("%d of %d results are not found: "+
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

// TestEarlierResultsAgain checks that each run, played again, gives the result of the earlier release.
func TestEarlierResultsAgain(t *testing.T) {
	x := read(t, compattest.File("experiment.sx"))
	earlier, _, err := Load(x, compattest.File("results"))
	if err != nil {
		t.Fatal(err)
	}
	again := run(t, x, nil, 2)
	for i := range earlier {
		if earlier[i] == nil {
			t.Errorf("result %d of the earlier release is not found", i)
			continue
		}
		name := again[i].Scenario + " " + again[i].Policy
		compattest.SameJSON(t, name, []byte(encode(t, earlier[i])), again[i])
	}
}

// TestEarlierSimulations checks that twelve simulated days under four policies, with two seeds each, give the results
// of the earlier release to the byte. dozen.sha256 has the SHA-256 of each result's JSON of that release.
func TestEarlierSimulations(t *testing.T) {
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
		t.Errorf("scenario, policy, seed and hash of the earlier release (-), and now (+):\n%s", diff)
	}
}

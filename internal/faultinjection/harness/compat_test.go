package harness

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats verifies that JSON of an earlier release, with each field set, is the same after it is read and
// written.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Verdict](t, "Verdict.json")
	compattest.RoundTrip[Measures](t, "Measures.json")
	compattest.RoundTrip[Report](t, "Report.json")
}

// TestEarlierVerdicts verifies that a file of verdicts of an earlier release is read and summarised as it was then.
func TestEarlierVerdicts(t *testing.T) {
	compattest.RoundTrip[Verdict](t, "verdicts.jsonl")
	report, err := ReadReport(compattest.File("verdicts.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	compattest.SameJSON(t, "report-printed.json", compattest.Read(t, "report-printed.json"), report)
}

package harness

import (
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Verdict](t, "Verdict.json")
	compattest.RoundTrip[Measures](t, "Measures.json")
	compattest.RoundTrip[Report](t, "Report.json")
}

// TestEarlierVerdicts: the verdicts that an earlier release added to a file are read and summed up the same.
func TestEarlierVerdicts(t *testing.T) {
	compattest.RoundTrip[Verdict](t, "verdicts.jsonl")
	report, err := ReadReport(compattest.File("verdicts.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	compattest.SameJSON(t, "report-printed.json", compattest.Read(t, "report-printed.json"), report)
}

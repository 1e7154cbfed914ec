package checker

import (
	"encoding/json"
	"testing"

	"milletbarrow/internal/compattest"
)

// TestReportKeepsEarlierFormat verifies that a report of an earlier release, with each field set, is read and written
// back unchanged.
func TestReportKeepsEarlierFormat(t *testing.T) {
	compattest.RoundTrip[Report](t, "Report.json")
}

// TestEarlierDrawLogsGiveEarlierReports verifies that draw logs of an earlier release lead to that release's reports,
// both with the limits that were in force and with tighter ones that are breached.
func TestEarlierDrawLogsGiveEarlierReports(t *testing.T) {
	all, err := ReadAll(compattest.File("stamps"))
	if err != nil {
		t.Fatal(err)
	}
	var span struct {
		From int64 `json:"from"`
		To   int64 `json:"to"`
	}
	want := compattest.Read(t, "reports.json")
	if err := json.Unmarshal(want, &span); err != nil {
		t.Fatal(err)
	}
	limits := func(acme int64) Limits {
		return Limits{"acme": {{From: span.From, Units: acme}}, "zeta": {{From: span.From, Units: 12}}}
	}
	reports := make([]Report, 0, 4)
	for _, limit := range []Limits{limits(32), limits(20)} {
		for _, quota := range []string{"acme", "zeta"} {
			report := CheckGrants(all, quota, limit, span.From, span.To)
			report.CheckDraws(all, limit, 20, 500_000, 2_000_000, 10_000_000)
			reports = append(reports, report)
		}
	}
	compattest.SameJSON(t, "reports.json", want, map[string]any{"from": span.From, "to": span.To, "reports": reports})
}

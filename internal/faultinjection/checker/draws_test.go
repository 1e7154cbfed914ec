package checker

import (
	"strings"
	"testing"
)

// TestPlantedDraws has the checker judge draws at the total, and more in an instant.
func TestPlantedDraws(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	steady := "clock 1 0\n"
	for at := 0; at < 2_000_000; at += 100_000 {
		steady += strings.NewReplacer("FROM", itoa(at+1), "TO", itoa(at+100_001)).Replace("drew FROM TO b 1\n")
	}
	r := Report{Quota: "b"}
	if r.CheckDraws([]*Process{process(t, "n1", steady)}, limits, 0, 500_000, 1_000_000); r.Count != 0 || r.Drawn != 20 {
		t.Errorf("ten a second of ten a second: %v, %d drawn", r.Breaches, r.Drawn)
	}
	r = Report{Quota: "b"}
	if r.CheckDraws([]*Process{process(t, "n1", steady), process(t, "n2", "clock 1 0\ndrew 500000 500100 b 3\n")}, limits, 2, 500_000); r.Count == 0 || r.Excess != 3 {
		t.Errorf("three more in an instant, the burst is two: %v, excess %d", r.Breaches, r.Excess)
	}
	r = Report{Quota: "b"}
	if r.CheckDraws([]*Process{process(t, "n1", "clock 1 0\ndrew 1 9000000 b 60\n")}, limits, 0, 500_000); r.Count != 0 {
		t.Errorf("drawn somewhere in nine seconds: %v", r.Breaches)
	}
}

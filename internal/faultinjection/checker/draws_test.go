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

// TestDrawsWithinSpans: what a span holds to both ends counts, and what passes total and burst by one unit is a breach.
func TestDrawsWithinSpans(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	for _, c := range []struct {
		name     string
		totals   Limits
		log      string
		burst    int64
		breaches int
		excess   int64
	}{
		{"the total and the burst", limits, "clock 1 0\ndrew 1000 500000 b 12\n", 7, 0, 7},
		{"one more", limits, "clock 1 0\ndrew 1000 500000 b 13\n", 7, 1, 8},
		{"to the last instant of the span", limits, "clock 1 0\ndrew 1000 501000 b 13\n", 7, 1, 8},
		{"an instant beyond the span", limits, "clock 1 0\ndrew 1000 501001 b 13\n", 7, 0, 0},
		{"from the last instant of the span", limits, "clock 1 0\ndrew 1000 2000 b 6\ndrew 500999 501000 b 6\n", 0, 2, 7},
		{"begun as the span ends", limits, "clock 1 0\ndrew 1000 2000 b 5\ndrew 501000 501000 b 5\n", 0, 0, 0},
		{"a part of a unit counts as one", Limits{"b": {{0, 11}}}, "clock 1 0\ndrew 1000 500000 b 6\n", 0, 0, 0},
		{"a higher total that begins in the span", Limits{"b": {{0, 10}, {300_000, 30}}}, "clock 1 0\ndrew 1000 500000 b 15\n", 0, 0, 0},
		{"a higher total that ends in the span", Limits{"b": {{0, 30}, {300_000, 10}}}, "clock 1 0\ndrew 1000 500000 b 15\n", 0, 0, 0},
		{"a higher total that begins with the span's end", Limits{"b": {{0, 10}, {501_000, 30}}}, "clock 1 0\ndrew 1000 501000 b 15\n", 0, 1, 10},
		{"a lower total in force", Limits{"b": {{0, 30}, {1000, 10}}}, "clock 1 0\ndrew 1000 500000 b 15\n", 0, 1, 10},
		{"another quota's", limits, "clock 1 0\ndrew 1000 500000 c 60\n", 0, 0, 0},
	} {
		r := Report{Quota: "b"}
		r.CheckDraws(processes(t, c.log), c.totals, c.burst, 500_000)
		if r.Count != c.breaches || r.Excess != c.excess {
			t.Errorf("%s: %d breaches, %d units over, wanted %d and %d: %v", c.name, r.Count, r.Excess, c.breaches, c.excess, r.Breaches)
		}
	}
}

// TestDrawsOfManyHolders: a span may begin with any holder's draw, in whatever order the logs were read.
func TestDrawsOfManyHolders(t *testing.T) {
	r := Report{Quota: "b"}
	r.CheckDraws(processes(t, "clock 1 0\ndrew 600000 700000 b 4\n", "clock 1 0\ndrew 300000 400000 b 4\n"), Limits{"b": {{0, 10}}}, 0, 500_000)
	if r.Count != 1 || r.Excess != 3 || r.Drawn != 8 {
		t.Errorf("eight where five are allowed: %v, %d units over", r.Breaches, r.Excess)
	}
	if want := (Breach{Quota: "b", Rule: RuleUnitsDrawn, At: 300_000, Duration: 500_000, Found: 8, Limit: 5}); len(r.Breaches) != 1 || r.Breaches[0].String() != want.String() {
		t.Errorf("%v, wanted %v", r.Breaches, want)
	}
}

// TestDrawsThatCrowd: among draws that follow each other closely every eighth begins a span, so that a burst late in a
// crowd is found too.
func TestDrawsThatCrowd(t *testing.T) {
	var log strings.Builder
	log.WriteString("clock 1 0\n")
	for i := range 100 { // a unit every 5 ms: twice what 100 a second allow, from 200 ms on
		from := 1000 + 5000*i
		units := "0"
		if i >= 40 {
			units = "1"
		}
		log.WriteString("drew " + itoa(from) + " " + itoa(from+5000) + " b " + units + "\n")
	}
	r := Report{Quota: "b"}
	r.CheckDraws(processes(t, log.String()), Limits{"b": {{0, 100}}}, 0, 300_000)
	if r.Count == 0 || r.Excess != 30 {
		t.Errorf("twice the total: %d breaches, %d units over, wanted 30 over", r.Count, r.Excess)
	}
	if r.Count > 100/sampledEvery+1 {
		t.Errorf("%d breaches of neighbours, at most one draw in %d begins a span", r.Count, sampledEvery)
	}
}

// TestUnitsDrawn: of a draw that lies partly in the span, that part counts.
func TestUnitsDrawn(t *testing.T) {
	all := processes(t, "clock 1 0\ndrew 100 200 b 10\n", "clock 1 0\ndrew 150 250 b 4\ndrew 250 350 c 9\n")
	for _, c := range []struct {
		from, to int64
		units    float64
	}{{0, 1000, 14}, {150, 200, 5 + 2}, {0, 100, 0}, {250, 900, 0}, {110, 120, 1}, {240, 400, 0.4}} {
		if units := UnitsDrawn(all, "b", c.from, c.to); !near(units, c.units) {
			t.Errorf("%d to %d: %.3f units, wanted %.3f", c.from, c.to, units, c.units)
		}
	}
}

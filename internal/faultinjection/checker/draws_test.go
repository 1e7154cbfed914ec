package checker

import (
	"strconv"
	"strings"
	"testing"
)

// TestShortBurstAboveTotalIsBreach verifies that draws at the total are no breach and that a short burst above it is
// one.
func TestShortBurstAboveTotalIsBreach(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	steady := "clock 1 0\n"
	for at := 0; at < 2_000_000; at += 100_000 {
		steady += strings.NewReplacer(
			"FROM",
			strconv.Itoa(at+1),
			"TO",
			strconv.Itoa(at+100_001),
		).Replace("drew FROM TO b 1\n")
	}
	for _, c := range []struct {
		name     string
		logs     []string
		burst    int64
		lengths  []int64
		breached bool
		drawn    int64
		excess   int64
	}{
		{
			name:    "10 units per second at a total of 10",
			logs:    []string{steady},
			lengths: []int64{500_000, 1_000_000},
			drawn:   20,
		},
		{
			name:     "3 units above the total with a burst of 2",
			logs:     []string{steady, "clock 1 0\ndrew 500000 500100 b 3\n"},
			burst:    2,
			lengths:  []int64{500_000},
			breached: true,
			drawn:    23,
			excess:   3,
		},
		{
			name:    "a draw longer than the span",
			logs:    []string{"clock 1 0\ndrew 1 9000000 b 60\n"},
			lengths: []int64{500_000},
			drawn:   60,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Report{Quota: "b"}
			r.CheckDraws(readProcesses(t, c.logs...), limits, c.burst, c.lengths...)
			if (r.Count > 0) != c.breached || r.Drawn != c.drawn || r.Excess != c.excess {
				t.Errorf("got breaches %v, %d units drawn, excess %d", r.Breaches, r.Drawn, r.Excess)
			}
		})
	}
}

// total10 limits the quota b to 10 units per second.
var total10 = Limits{"b": {{0, 10}}}

// drawsWithinSpans lists logs with the breaches in spans of 500 ms.
var drawsWithinSpans = []struct {
	name     string
	totals   Limits
	log      string
	burst    int64
	breaches int
	excess   int64
}{
	{
		name:     "the total and the burst",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 500000 b 12\n",
		burst:    7,
		breaches: 0,
		excess:   7,
	},
	{
		name:     "one more",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 500000 b 13\n",
		burst:    7,
		breaches: 1,
		excess:   8,
	},
	{
		name:     "to the last instant of the span",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 501000 b 13\n",
		burst:    7,
		breaches: 1,
		excess:   8,
	},
	{
		name:     "an instant beyond the span",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 501001 b 13\n",
		burst:    7,
		breaches: 0,
		excess:   0,
	},
	{
		name:     "from the last instant of the span",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 2000 b 6\ndrew 500999 501000 b 6\n",
		burst:    0,
		breaches: 2,
		excess:   7,
	},
	{
		name:     "begun as the span ends",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 2000 b 5\ndrew 501000 501000 b 5\n",
		burst:    0,
		breaches: 0,
		excess:   0,
	},
	{
		name:     "the allowed units are rounded up",
		totals:   Limits{"b": {{0, 11}}},
		log:      "clock 1 0\ndrew 1000 500000 b 6\n",
		burst:    0,
		breaches: 0,
		excess:   0,
	},
	{
		name:     "a higher total that begins in the span",
		totals:   Limits{"b": {{0, 10}, {300_000, 30}}},
		log:      "clock 1 0\ndrew 1000 500000 b 15\n",
		burst:    0,
		breaches: 0,
		excess:   0,
	},
	{
		name:     "a higher total that ends in the span",
		totals:   Limits{"b": {{0, 30}, {300_000, 10}}},
		log:      "clock 1 0\ndrew 1000 500000 b 15\n",
		burst:    0,
		breaches: 0,
		excess:   0,
	},
	{
		name:     "a higher total that begins with the span's end",
		totals:   Limits{"b": {{0, 10}, {501_000, 30}}},
		log:      "clock 1 0\ndrew 1000 501000 b 15\n",
		burst:    0,
		breaches: 1,
		excess:   10,
	},
	{
		name:     "a lower total in force",
		totals:   Limits{"b": {{0, 30}, {1000, 10}}},
		log:      "clock 1 0\ndrew 1000 500000 b 15\n",
		burst:    0,
		breaches: 1,
		excess:   10,
	},
	{
		name:     "a draw of another quota",
		totals:   total10,
		log:      "clock 1 0\ndrew 1000 500000 c 60\n",
		burst:    0,
		breaches: 0,
		excess:   0,
	},
}

// TestDrawsAboveTotalAndBurstAreBreaches verifies which draws count for a span, and that one unit above total and burst
// is a breach.
func TestDrawsAboveTotalAndBurstAreBreaches(t *testing.T) {
	for _, c := range drawsWithinSpans {
		t.Run(c.name, func(t *testing.T) {
			r := Report{Quota: "b"}
			r.CheckDraws(readProcesses(t, c.log), c.totals, c.burst, 500_000)
			if r.Count != c.breaches || r.Excess != c.excess {
				t.Errorf(
					"%s: got %d breaches and an excess of %d units, want %d and %d: %v",
					c.name,
					r.Count,
					r.Excess,
					c.breaches,
					c.excess,
					r.Breaches,
				)
			}
		})
	}
}

// TestSpanMayBeginWithDrawOfAnyProcess verifies that a span may begin with any process's draw, whatever the order of
// the logs.
func TestSpanMayBeginWithDrawOfAnyProcess(t *testing.T) {
	r := Report{Quota: "b"}
	r.CheckDraws(
		readProcesses(t, "clock 1 0\ndrew 600000 700000 b 4\n", "clock 1 0\ndrew 300000 400000 b 4\n"),
		Limits{"b": {{0, 10}}},
		0,
		500_000,
	)
	if r.Count != 1 || r.Excess != 3 || r.Drawn != 8 {
		t.Errorf("8 units with 5 allowed: %v, excess %d", r.Breaches, r.Excess)
	}
	if want := (Breach{
		Quota:    "b",
		Rule:     RuleUnitsDrawn,
		At:       300_000,
		Duration: 500_000,
		Found:    8,
		Limit:    5,
	}); len(r.Breaches) != 1 || r.Breaches[0].String() != want.String() {
		t.Errorf("got %v, want %v", r.Breaches, want)
	}
}

// TestNeighbouringDrawsAreSampled verifies that every eighth of many neighbouring draws begins a span, so that a burst
// late among them is found.
func TestNeighbouringDrawsAreSampled(t *testing.T) {
	var log strings.Builder
	log.WriteString("clock 1 0\n")
	for i := range 100 { // from 200 ms on one unit every 5 ms, twice a total of 100 units per second
		from := 1000 + 5000*i
		units := "0"
		if i >= 40 {
			units = "1"
		}
		log.WriteString("drew " + strconv.Itoa(from) + " " + strconv.Itoa(from+5000) + " b " + units + "\n")
	}
	r := Report{Quota: "b"}
	r.CheckDraws(readProcesses(t, log.String()), Limits{"b": {{0, 100}}}, 0, 300_000)
	if r.Count == 0 || r.Excess != 30 {
		t.Errorf(
			"draws at twice the total: got %d breaches and an excess of %d units, want 30 units",
			r.Count,
			r.Excess,
		)
	}
	if r.Count > 100/sampleEvery+1 {
		t.Errorf("%d breaches, although at most one draw in %d begins a span", r.Count, sampleEvery)
	}
}

// TestUnitsDrawnCountsPartialDrawsInProportion verifies that a draw partly within the span counts in proportion.
func TestUnitsDrawnCountsPartialDrawsInProportion(t *testing.T) {
	all := readProcesses(t, "clock 1 0\ndrew 100 200 b 10\n", "clock 1 0\ndrew 150 250 b 4\ndrew 250 350 c 9\n")
	for _, c := range []struct {
		from, to int64
		units    float64
	}{{0, 1000, 14}, {150, 200, 5 + 2}, {0, 100, 0}, {250, 900, 0}, {110, 120, 1}, {240, 400, 0.4}} {
		if units := UnitsDrawn(all, "b", c.from, c.to); !almostEqual(units, c.units) {
			t.Errorf("%d to %d: got %.3f units, want %.3f", c.from, c.to, units, c.units)
		}
	}
}

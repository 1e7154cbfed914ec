package checker

import (
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// TestSmallGrantErrorsAreFound verifies that grants that exceed the total by a few units or for a few milliseconds are
// found, and that correct grants pass.
func TestSmallGrantErrorsAreFound(t *testing.T) {
	limits := Limits{"b": {{0, 10}, {9_000_000, 6}}}
	for name, c := range map[string]struct {
		logs     []string
		breaches int
		peak     float64
	}{
		"handover at the end of a lease": {
			logs: []string{
				"clock 1000 0\nhave 1000 b 1 1 8 500000\nhere 900000\n",
				"clock 2000 0\nhave 2000 b 2 1 0 0\nhave 501000 b 3 1 8 500000\nhere 900000\n",
			},
			breaches: 0,
			peak:     1,
		},
		"handover 1 ms before the end of a lease": {
			logs: []string{
				"clock 1000 0\nhave 1000 b 1 1 8 500000\nhere 900000\n",
				"clock 2000 0\nhave 2000 b 2 1 0 0\nhave 500000 b 3 1 8 500000\nhere 900000\n",
			},
			breaches: 1,
			peak:     1.8,
		},
		"a lease clock that runs slow by 4%": {
			logs: []string{ // its lease of 500 ms lasts 520.8 ms
				"clock 1000 -40000\nhave 1000 b 1 1 8 500000\nhere 900000\n",
				"clock 2000 0\nhave 2000 b 2 1 0 0\nhave 510000 b 3 1 8 500000\nhere 900000\n",
			},
			breaches: 1,
			peak:     1.8,
		},
		"a floor counted twice": {
			logs: []string{
				"clock 1 0\nhave 1 b 1 3 4 500000\nhere 900000\n", "clock 1 0\nhave 2 b 2 3 4 500000\nhere 900000\n"},
			breaches: 1,
			peak:     1.4,
		},
		"two processes of one backend": {
			logs: []string{
				"clock 1 0\nhave 1 b 1 6 0 0\nhere 900000\n", "clock 1 0\nhave 2 b 2 6 0 0\nhere 900000\n"},
			breaches: 1,
			peak:     1.2,
		},
		"a successor after the last entry": {
			logs: []string{
				"clock 1 0\nhave 1 b 1 6 0 0\nhere 900000\n", "clock 1 0\nhave 900001 b 2 6 0 0\nhere 990000\n"},
			breaches: 0,
			peak:     0.6,
		},
		"a grant returned before it is granted again": {
			logs: []string{
				"clock 1 0\nhave 1 b 1 0 9 500000\nhave 400 b 2 0 0 0\nhere 900000\n",
				"clock 1 0\nhave 401 b 3 0 9 500000\nhere 990000\n",
			},
			breaches: 0,
			peak:     0.9,
		},
		"a grant above a lower total": {
			logs: []string{
				"clock 1 0\nhave 8000000 b 1 7 0 0\nhere 9900000\n"},
			breaches: 1,
			peak:     7.0 / 6,
		},
	} {
		t.Run(name, func(t *testing.T) {
			all := make([]*Process, 0, len(c.logs))
			for _, s := range c.logs {
				all = append(all, readProcess(t, "n1", s))
			}
			r := CheckGrants(all, "b", limits, 0, 10_000_000)
			if r.Count != c.breaches || r.Peak < c.peak-1e-9 || r.Peak > c.peak+1e-9 {
				t.Errorf(
					"got %d breaches and a peak of %.3f, want %d and %.3f: %v",
					r.Count,
					r.Peak,
					c.breaches,
					c.peak,
					r.Breaches,
				)
			}
		})
	}
}

// totalBreaches lists logs with the breaches of a total of 10.
var totalBreaches = []struct {
	name     string
	logs     []string
	breaches []Breach
}{
	{
		name: "grants at the total",
		logs: []string{
			"clock 1 0\nhave 100 b 1 4 0 0\nhere 900\n",
			"clock 1 0\nhave 200 b 1 6 0 0\nhere 800\n",
		},
		breaches: nil,
	},
	{
		name: "one unit above the total",
		logs: []string{"clock 1 0\nhave 100 b 1 4 0 0\nhere 900\n", "clock 1 0\nhave 200 b 2 7 0 0\nhere 800\n"},
		breaches: []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 200, Duration: 600, Found: 11, Limit: 10, Holders: []Holder{
				{Name: "n1", Epoch: 1, Floor: 4}, {Name: "n2", Epoch: 2, Floor: 7}}},
		},
	},
	{
		name: "one unit above the total after another grant",
		logs: []string{
			"clock 1 0\nhave 100 b 1 4 0 0\nhave 300 b 5 5 0 0\nhere 900\n",
			"clock 1 0\nhave 200 b 2 6 0 0\nhere 800\n",
		},
		breaches: []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 300, Duration: 500, Found: 11, Limit: 10, Holders: []Holder{
				{Name: "n1", Epoch: 5, Floor: 5}, {Name: "n2", Epoch: 2, Floor: 6}}},
		},
	},
	{
		name: "an ended grant is not listed",
		logs: []string{
			"clock 1 0\nhave 10 b 3 9 0 0\nhave 20 b 4 0 0 0\nhere 900\n",
			"clock 1 0\nhave 200 b 2 4 7 100\nhere 800\n",
		},
		breaches: []Breach{
			{
				Quota:    "b",
				Rule:     RuleGrantsInForce,
				At:       200,
				Duration: 100,
				Found:    11,
				Limit:    10,
				Holders:  []Holder{{Name: "n2", Epoch: 2, Floor: 4, Extra: 7}},
			},
		},
	},
	{
		name: "an epoch outlasts its lease",
		logs: []string{"clock 1 0\nhave 100 b 7 4 1 50\nhere 900\n", "clock 1 0\nhave 200 b 2 7 0 0\nhere 800\n"},
		breaches: []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 200, Duration: 600, Found: 11, Limit: 10, Holders: []Holder{
				{Name: "n1", Epoch: 7, Floor: 4}, {Name: "n2", Epoch: 2, Floor: 7}}},
		},
	},
	{
		name: "an epoch replaced at the same instant",
		logs: []string{"clock 1 0\nhave 100 b 7 20 0 0\nhave 100 b 8 11 0 0\nhere 900\n"},
		breaches: []Breach{
			{
				Quota:    "b",
				Rule:     RuleGrantsInForce,
				At:       100,
				Duration: 800,
				Found:    11,
				Limit:    10,
				Holders:  []Holder{{Name: "n1", Epoch: 8, Floor: 11}},
			},
		},
	},
	{
		name: "an empty lease does not split a breach",
		logs: []string{"clock 1 0\nhave 100 b 1 11 0 50\nhere 900\n"},
		breaches: []Breach{
			{
				Quota:    "b",
				Rule:     RuleGrantsInForce,
				At:       100,
				Duration: 800,
				Found:    11,
				Limit:    10,
				Holders:  []Holder{{Name: "n1", Epoch: 1, Floor: 11}},
			},
		},
	},
	{
		name: "a grant without duration does not split a breach",
		logs: []string{"clock 1 0\nhave 100 b 1 11 0 0\nhere 900\n", "clock 1 0\nhave 500 b 1 1 0 0\n"},
		breaches: []Breach{
			{
				Quota:    "b",
				Rule:     RuleGrantsInForce,
				At:       100,
				Duration: 800,
				Found:    11,
				Limit:    10,
				Holders:  []Holder{{Name: "n1", Epoch: 1, Floor: 11}},
			},
		},
	},
	{
		name: "a negative lease hides no breach",
		logs: []string{
			"clock 1 0\nhave 100 b 1 0 10 -50\nhere 900\n",
			"clock 1 0\nhave 60 b 2 11 0 0\nhave 90 b 3 0 0 0\nhere 900\n",
		},
		breaches: []Breach{
			{
				Quota:    "b",
				Rule:     RuleGrantsInForce,
				At:       60,
				Duration: 30,
				Found:    11,
				Limit:    10,
				Holders:  []Holder{{Name: "n2", Epoch: 2, Floor: 11}},
			},
		},
	},
	{
		name: "a lease beyond the last entry",
		logs: []string{
			"clock 1 0\nhave 100 b 1 0 8 5000\nhere 400\n",
			"clock 1 0\nhave 401 b 1 0 8 5000\nhere 900\n",
		},
		breaches: nil,
	},
	{
		name: "a lease beyond the next grant",
		logs: []string{
			"clock 1 0\nhave 100 b 1 0 8 5000\nhave 300 b 2 0 0 0\nhere 900\n",
			"clock 1 0\nhave 300 b 1 0 8 5000\nhere 900\n",
		},
		breaches: nil,
	},
	{
		name:     "a grant without duration",
		logs:     []string{"clock 1 0\nhave 100 b 1 11 11 500\nhave 100 b 1 1 1 500\nhere 900\n"},
		breaches: nil,
	},
	{
		name:     "an expired lease",
		logs:     []string{"clock 1 0\nhave 100 b 1 1 10 0\nhere 900\n"},
		breaches: nil,
	},
	{
		name:     "a grant as the last entry",
		logs:     []string{"clock 1 0\nhave 100 b 1 11 11 500\n"},
		breaches: nil,
	},
	{
		name: "handover at one instant",
		logs: []string{
			"clock 1 0\nhave 100 b 1 9 0 0\nhave 300 b 2 0 0 0\nhere 900\n",
			"clock 1 0\nhave 300 b 2 9 0 0\nhere 900\n",
		},
		breaches: nil,
	},
	{
		name:     "grants of another quota",
		logs:     []string{"clock 1 0\nhave 100 b 1 9 0 0\nhave 200 c 1 9 0 0\nhere 900\n"},
		breaches: nil,
	},
}

// TestGrantsAboveTotalAreBreaches verifies that grants up to the total are no breach, and that one unit more is a
// breach for as long as it is in force.
func TestGrantsAboveTotalAreBreaches(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	for _, c := range totalBreaches {
		t.Run(c.name, func(t *testing.T) {
			r := CheckGrants(readProcesses(t, c.logs...), "b", limits, 0, 1000)
			if !reflect.DeepEqual(
				r.Breaches,
				c.breaches,
			) || r.Count != len(c.breaches) || (r.Peak > 1) != (len(c.breaches) > 0) {
				t.Errorf(
					"%s: got %d breaches %+v and a peak of %.2f, want %+v",
					c.name,
					r.Count,
					r.Breaches,
					r.Peak,
					c.breaches,
				)
			}
		})
	}
}

// TestLeaseExpiresByLeaseClockOfProcess verifies that a lease expires by the process's lease clock. By the machine's
// clock, both processes would hold the units at once.
func TestLeaseExpiresByLeaseClockOfProcess(t *testing.T) {
	logs := []string{
		"clock 1 40000\nhave 1 b 1 0 8 520000\nhere 900000\n",
		"clock 1 0\nhave 500001 b 1 0 8 100000\nhere 900000\n",
	}
	if r := CheckGrants(readProcesses(t, logs...), "b", Limits{"b": {{0, 10}}}, 0, 900_000); r.Count != 0 {
		t.Errorf("lease that expired after 500 ms of the machine's clock: %v", r.Breaches)
	}
}

// TestEachTotalAppliesFromItsTime verifies that a quota is not checked before its first total, and that each total
// applies from its From on.
func TestEachTotalAppliesFromItsTime(t *testing.T) {
	log := "clock 1 0\nhave 100 b 1 7 0 0\nhere 900\n"
	for _, c := range []struct {
		name   string
		totals []Total
		at     int64 // of the breach; 0: none
		peak   float64
	}{
		{"no total", nil, 0, 0},
		{"a lower total from its first instant", []Total{{0, 10}, {500, 6}}, 500, 7.0 / 6},
		{"a lower total at the instant of a grant", []Total{{0, 10}, {100, 6}}, 100, 7.0 / 6},
		{"a lower total after the end of the process", []Total{{0, 10}, {900, 6}}, 0, 0.7},
		{"a first total after the grant", []Total{{300, 14}}, 0, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := CheckGrants(readProcesses(t, log), "b", Limits{"b": c.totals}, 0, 1000)
			at := int64(0)
			if len(r.Breaches) > 0 {
				at = r.Breaches[0].At
			}
			if at != c.at || !almostEqual(r.Peak, c.peak) {
				t.Errorf(
					"%s: got a breach at %d and a peak of %.3f, want %d and %.3f",
					c.name,
					at,
					r.Peak,
					c.at,
					c.peak,
				)
			}
		})
	}
}

// TestMeanAndLastCoverGivenSpan verifies that Mean and Last cover the given span, including its idle time.
func TestMeanAndLastCoverGivenSpan(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	log := "clock 1 0\nhave 100 b 1 2 0 0\nhave 200 b 2 8 0 0\nhave 400 b 3 4 0 0\nhere 500\n"
	for _, c := range []struct {
		from, to   int64
		mean, last float64
	}{
		{100, 500, (0.2 + 0.8 + 0.8 + 0.4) / 4, 0.4},
		{150, 250, 0.5, 0.8},
		{300, 600, (0.8 + 0.4 + 0) / 3, 0},
		{700, 700, 0, 0},
	} {
		r := CheckGrants(readProcesses(t, log), "b", limits, c.from, c.to)
		if !almostEqual(r.Mean, c.mean) || !almostEqual(r.Last, c.last) || r.Grants != 3 {
			t.Errorf(
				"%d to %d: got mean %.3f, last %.3f and %d grants, want %.3f, %.3f and 3",
				c.from,
				c.to,
				r.Mean,
				r.Last,
				r.Grants,
				c.mean,
				c.last,
			)
		}
	}
}

// TestReportHoldsFirstBreachesAndCountsAll verifies that a report holds the first breaches and counts all.
func TestReportHoldsFirstBreachesAndCountsAll(t *testing.T) {
	var log strings.Builder
	log.WriteString("clock 1 0\n")
	for i := range 25 {
		log.WriteString("have " + strconv.Itoa(100+10*i) + " b 1 " + strconv.Itoa(11+i%2) + " 0 0\n")
	}
	log.WriteString("here 900\n")
	r := CheckGrants(readProcesses(t, log.String()), "b", Limits{"b": {{0, 10}}}, 0, 1000)
	if r.Count != 25 || len(r.Breaches) != maxBreaches || r.Breaches[0].At != 100 {
		t.Errorf(
			"got %d breaches, %d of them in the report, want 25 and %d: %v",
			r.Count,
			len(r.Breaches),
			maxBreaches,
			r.Breaches,
		)
	}
}

// TestHeldSinceCountsUnitsInForce verifies that units count from their grant until the lease expires or the process
// ends, and that those of excluded backends do not count.
func TestHeldSinceCountsUnitsInForce(t *testing.T) {
	all := readProcesses(
		t,
		"clock 1 0\nhave 100000 b 1 2 6 300000\nhere 900000\n",
		"clock 1 0\nhave 200000 b 1 5 0 0\nhere 600000\n",
	)
	for _, c := range []struct {
		name     string
		excluded map[string]bool
		units    int64
		from, to int64
		at       int64
		ok       bool
	}{
		{"both processes", nil, 13, 0, 900_000, 200_000, true},
		{"more than both hold", nil, 14, 0, 900_000, 0, false},
		{"second process excluded", map[string]bool{"n2": true}, 8, 0, 900_000, 100_000, true},
		{"first process excluded", map[string]bool{"n1": true}, 6, 0, 900_000, 0, false},
		{"before the end of the span", nil, 13, 0, 200_000, 0, false},
		{"within the lease", nil, 13, 395_000, 900_000, 395_000, true},
		{"after the lease", nil, 8, 400_000, 900_000, 0, false},
		{"floor after the lease", nil, 7, 400_000, 900_000, 400_000, true},
		{"until the process's last entry", nil, 7, 600_000, 900_000, 600_000, true},
		{"the process has ended", nil, 7, 605_000, 900_000, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if at, ok := HeldSince(all, "b", c.excluded, c.units, c.from, c.to); at != c.at || ok != c.ok {
				t.Errorf("got %d, %v, want %d, %v", at, ok, c.at, c.ok)
			}
		})
	}
}

package checker

import (
	"reflect"
	"strings"
	"testing"
)

// TestPlantedGrants has the checker judge logs in which a grant is wrong by little, and the same without it.
func TestPlantedGrants(t *testing.T) {
	limits := Limits{"b": {{0, 10}, {9_000_000, 6}}}
	for name, c := range map[string]struct {
		logs     []string
		breaches int
		peak     float64
	}{
		"handed over at the end of a lease": {[]string{
			"clock 1000 0\nhave 1000 b 1 1 8 500000\nhere 900000\n", "clock 2000 0\nhave 2000 b 2 1 0 0\nhave 501000 b 3 1 8 500000\nhere 900000\n"}, 0, 1},
		"handed over 1 ms before": {[]string{
			"clock 1000 0\nhave 1000 b 1 1 8 500000\nhere 900000\n", "clock 2000 0\nhave 2000 b 2 1 0 0\nhave 500000 b 3 1 8 500000\nhere 900000\n"}, 1, 1.8},
		"a clock that runs slow by 4%": {[]string{ // its half second is 20.8 ms longer
			"clock 1000 -40000\nhave 1000 b 1 1 8 500000\nhere 900000\n", "clock 2000 0\nhave 2000 b 2 1 0 0\nhave 510000 b 3 1 8 500000\nhere 900000\n"}, 1, 1.8},
		"a floor counted twice": {[]string{
			"clock 1 0\nhave 1 b 1 3 4 500000\nhere 900000\n", "clock 1 0\nhave 2 b 2 3 4 500000\nhere 900000\n"}, 1, 1.4},
		"two processes of one name": {[]string{
			"clock 1 0\nhave 1 b 1 6 0 0\nhere 900000\n", "clock 1 0\nhave 2 b 2 6 0 0\nhere 900000\n"}, 1, 1.2},
		"its successor begins after its last entry": {[]string{
			"clock 1 0\nhave 1 b 1 6 0 0\nhere 900000\n", "clock 1 0\nhave 900001 b 2 6 0 0\nhere 990000\n"}, 0, 0.6},
		"given back before it was given anew": {[]string{
			"clock 1 0\nhave 1 b 1 0 9 500000\nhave 400 b 2 0 0 0\nhere 900000\n", "clock 1 0\nhave 401 b 3 0 9 500000\nhere 990000\n"}, 0, 0.9},
		"a lower total is passed": {[]string{
			"clock 1 0\nhave 8000000 b 1 7 0 0\nhere 9900000\n"}, 1, 7.0 / 6},
	} {
		t.Run(name, func(t *testing.T) {
			all := make([]*Process, 0, len(c.logs))
			for _, s := range c.logs {
				all = append(all, process(t, "n1", s))
			}
			r := CheckGrants(all, "b", limits, 0, 10_000_000)
			if r.Count != c.breaches || r.Peak < c.peak-1e-9 || r.Peak > c.peak+1e-9 {
				t.Errorf("%d breaches and %.3f of the total, wanted %d and %.3f: %v", r.Count, r.Peak, c.breaches, c.peak, r.Breaches)
			}
		})
	}
}

// TestSumAtTheTotal: as much as the total is no breach, one unit more is, and only while it lasts.
func TestSumAtTheTotal(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	for _, c := range []struct {
		name     string
		logs     []string
		breaches []Breach
	}{
		{"the total", []string{"clock 1 0\nhave 100 b 1 4 0 0\nhere 900\n", "clock 1 0\nhave 200 b 1 6 0 0\nhere 800\n"}, nil},
		{"one more", []string{"clock 1 0\nhave 100 b 1 4 0 0\nhere 900\n", "clock 1 0\nhave 200 b 2 7 0 0\nhere 800\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 200, Duration: 600, Found: 11, Limit: 10, Holders: []Holder{
				{Name: "n1", Epoch: 1, Floor: 4}, {Name: "n2", Epoch: 2, Floor: 7}}},
		}},
		{"one more after another grant", []string{"clock 1 0\nhave 100 b 1 4 0 0\nhave 300 b 5 5 0 0\nhere 900\n", "clock 1 0\nhave 200 b 2 6 0 0\nhere 800\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 300, Duration: 500, Found: 11, Limit: 10, Holders: []Holder{
				{Name: "n1", Epoch: 5, Floor: 5}, {Name: "n2", Epoch: 2, Floor: 6}}},
		}},
		{"what ended names nobody", []string{"clock 1 0\nhave 10 b 3 9 0 0\nhave 20 b 4 0 0 0\nhere 900\n", "clock 1 0\nhave 200 b 2 4 7 100\nhere 800\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 200, Duration: 100, Found: 11, Limit: 10, Holders: []Holder{{Name: "n2", Epoch: 2, Floor: 4, Extra: 7}}},
		}},
		{"an epoch outlasts its lease", []string{"clock 1 0\nhave 100 b 7 4 1 50\nhere 900\n", "clock 1 0\nhave 200 b 2 7 0 0\nhere 800\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 200, Duration: 600, Found: 11, Limit: 10, Holders: []Holder{
				{Name: "n1", Epoch: 7, Floor: 4}, {Name: "n2", Epoch: 2, Floor: 7}}},
		}},
		{"an epoch that was replaced at once", []string{"clock 1 0\nhave 100 b 7 20 0 0\nhave 100 b 8 11 0 0\nhere 900\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 100, Duration: 800, Found: 11, Limit: 10, Holders: []Holder{{Name: "n1", Epoch: 8, Floor: 11}}},
		}},
		{"one breach where a lease of nothing ends in it", []string{"clock 1 0\nhave 100 b 1 11 0 50\nhere 900\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 100, Duration: 800, Found: 11, Limit: 10, Holders: []Holder{{Name: "n1", Epoch: 1, Floor: 11}}},
		}},
		{"one breach where a grant of no time lies in it", []string{"clock 1 0\nhave 100 b 1 11 0 0\nhere 900\n", "clock 1 0\nhave 500 b 1 1 0 0\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 100, Duration: 800, Found: 11, Limit: 10, Holders: []Holder{{Name: "n1", Epoch: 1, Floor: 11}}},
		}},
		{"a lease from before its grant hides nothing", []string{"clock 1 0\nhave 100 b 1 0 10 -50\nhere 900\n", "clock 1 0\nhave 60 b 2 11 0 0\nhave 90 b 3 0 0 0\nhere 900\n"}, []Breach{
			{Quota: "b", Rule: RuleGrantsInForce, At: 60, Duration: 30, Found: 11, Limit: 10, Holders: []Holder{{Name: "n2", Epoch: 2, Floor: 11}}},
		}},
		{"a lease beyond the last entry", []string{"clock 1 0\nhave 100 b 1 0 8 5000\nhere 400\n", "clock 1 0\nhave 401 b 1 0 8 5000\nhere 900\n"}, nil},
		{"a lease beyond the next grant", []string{"clock 1 0\nhave 100 b 1 0 8 5000\nhave 300 b 2 0 0 0\nhere 900\n", "clock 1 0\nhave 300 b 1 0 8 5000\nhere 900\n"}, nil},
		{"a grant without time", []string{"clock 1 0\nhave 100 b 1 11 11 500\nhave 100 b 1 1 1 500\nhere 900\n"}, nil},
		{"a lease that was over", []string{"clock 1 0\nhave 100 b 1 1 10 0\nhere 900\n"}, nil},
		{"a grant as the process ended", []string{"clock 1 0\nhave 100 b 1 11 11 500\n"}, nil},
		{"handed over at one instant", []string{"clock 1 0\nhave 100 b 1 9 0 0\nhave 300 b 2 0 0 0\nhere 900\n", "clock 1 0\nhave 300 b 2 9 0 0\nhere 900\n"}, nil},
		{"another quota's", []string{"clock 1 0\nhave 100 b 1 9 0 0\nhave 200 c 1 9 0 0\nhere 900\n"}, nil},
	} {
		r := CheckGrants(processes(t, c.logs...), "b", limits, 0, 1000)
		if !reflect.DeepEqual(r.Breaches, c.breaches) || r.Count != len(c.breaches) || (r.Peak > 1) != (len(c.breaches) > 0) {
			t.Errorf("%s: %d breaches %+v, at most %.2f of the total, wanted %+v", c.name, r.Count, r.Breaches, r.Peak, c.breaches)
		}
	}
}

// TestFastClock: a holder whose clock runs fast ends its lease before another takes the units; by the machine's clock both
// would hold them.
func TestFastClock(t *testing.T) {
	logs := []string{"clock 1 40000\nhave 1 b 1 0 8 520000\nhere 900000\n", "clock 1 0\nhave 500001 b 1 0 8 100000\nhere 900000\n"}
	if r := CheckGrants(processes(t, logs...), "b", Limits{"b": {{0, 10}}}, 0, 900_000); r.Count != 0 {
		t.Errorf("ended after 500 ms of the machine's clock: %v", r.Breaches)
	}
}

// TestTotalsByTime: before its first total a quota is not judged; from its From on a total is.
func TestTotalsByTime(t *testing.T) {
	log := "clock 1 0\nhave 100 b 1 7 0 0\nhere 900\n"
	for _, c := range []struct {
		name   string
		totals []Total
		at     int64 // of the breach; 0: none
		peak   float64
	}{
		{"none yet", nil, 0, 0},
		{"a lower one from its first instant on", []Total{{0, 10}, {500, 6}}, 500, 7.0 / 6},
		{"the one of the same instant as a grant", []Total{{0, 10}, {100, 6}}, 100, 7.0 / 6},
		{"a lower one after the process has ended", []Total{{0, 10}, {900, 6}}, 0, 0.7},
		{"the first one later than the grant", []Total{{300, 14}}, 0, 0.5},
	} {
		r := CheckGrants(processes(t, log), "b", Limits{"b": c.totals}, 0, 1000)
		at := int64(0)
		if len(r.Breaches) > 0 {
			at = r.Breaches[0].At
		}
		if at != c.at || !near(r.Peak, c.peak) {
			t.Errorf("%s: breach at %d, at most %.3f of the total, wanted %d and %.3f", c.name, at, r.Peak, c.at, c.peak)
		}
	}
}

// TestMeanAndLast: grants in force over time are those of the span that was asked for, idle time included.
func TestMeanAndLast(t *testing.T) {
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
		r := CheckGrants(processes(t, log), "b", limits, c.from, c.to)
		if !near(r.Mean, c.mean) || !near(r.Last, c.last) || r.Grants != 3 {
			t.Errorf("%d to %d: %.3f over time, %.3f at the end, %d grants, wanted %.3f, %.3f and 3", c.from, c.to, r.Mean, r.Last, r.Grants, c.mean, c.last)
		}
	}
}

// TestBreachesAreBounded: a report holds the first breaches and counts all.
func TestBreachesAreBounded(t *testing.T) {
	var log strings.Builder
	log.WriteString("clock 1 0\n")
	for i := range 25 {
		log.WriteString("have " + itoa(100+10*i) + " b 1 " + itoa(11+i%2) + " 0 0\n")
	}
	log.WriteString("here 900\n")
	r := CheckGrants(processes(t, log.String()), "b", Limits{"b": {{0, 10}}}, 0, 1000)
	if r.Count != 25 || len(r.Breaches) != maxBreaches || r.Breaches[0].At != 100 {
		t.Errorf("%d breaches, %d of them in the report, wanted 25 and %d: %v", r.Count, len(r.Breaches), maxBreaches, r.Breaches)
	}
}

// TestHeldSince: units count from their grant on until the lease, or the process, has ended; excluded backends' do not.
func TestHeldSince(t *testing.T) {
	all := processes(t, "clock 1 0\nhave 100000 b 1 2 6 300000\nhere 900000\n", "clock 1 0\nhave 200000 b 1 5 0 0\nhere 600000\n")
	for _, c := range []struct {
		name     string
		excluded map[string]bool
		units    int64
		from, to int64
		at       int64
		ok       bool
	}{
		{"both", nil, 13, 0, 900_000, 200_000, true},
		{"more than both have", nil, 14, 0, 900_000, 0, false},
		{"the other excluded", map[string]bool{"n2": true}, 8, 0, 900_000, 100_000, true},
		{"one excluded", map[string]bool{"n1": true}, 6, 0, 900_000, 0, false},
		{"before the end of the span", nil, 13, 0, 200_000, 0, false},
		{"within the lease", nil, 13, 395_000, 900_000, 395_000, true},
		{"the lease is over", nil, 8, 400_000, 900_000, 0, false},
		{"the floor goes on", nil, 7, 400_000, 900_000, 400_000, true},
		{"until the process's last entry", nil, 7, 600_000, 900_000, 600_000, true},
		{"the process has ended", nil, 7, 605_000, 900_000, 0, false},
	} {
		if at, ok := HeldSince(all, "b", c.excluded, c.units, c.from, c.to); at != c.at || ok != c.ok {
			t.Errorf("%s: %d, %v, wanted %d, %v", c.name, at, ok, c.at, c.ok)
		}
	}
}

package checker

import "testing"

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

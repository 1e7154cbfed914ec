package checker

import (
	"strings"
	"testing"
)

func process(t *testing.T, name, stamps string) *Process {
	t.Helper()
	p, err := Read(name, strings.NewReader(stamps))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestPlanted has the auditor judge stamps in which something is wrong by little, and the same without it.
func TestPlanted(t *testing.T) {
	limits := Limits{"b": {{0, 10}, {9_000_000, 6}}}
	for name, c := range map[string]struct {
		stamps   []string
		breaches int
		most     float64
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
		"its successor begins after its last stamp": {[]string{
			"clock 1 0\nhave 1 b 1 6 0 0\nhere 900000\n", "clock 1 0\nhave 900001 b 2 6 0 0\nhere 990000\n"}, 0, 0.6},
		"given back before it was given anew": {[]string{
			"clock 1 0\nhave 1 b 1 0 9 500000\nhave 400 b 2 0 0 0\nhere 900000\n", "clock 1 0\nhave 401 b 3 0 9 500000\nhere 990000\n"}, 0, 0.9},
		"a lower whole is passed": {[]string{
			"clock 1 0\nhave 8000000 b 1 7 0 0\nhere 9900000\n"}, 1, 7.0 / 6},
	} {
		t.Run(name, func(t *testing.T) {
			all := make([]*Process, 0, len(c.stamps))
			for _, s := range c.stamps {
				all = append(all, process(t, "n1", s))
			}
			r := Shares(all, "b", limits, 0, 10_000_000)
			if r.Count != c.breaches || r.Most < c.most-1e-9 || r.Most > c.most+1e-9 {
				t.Errorf("%d breaches and %.3f of the whole, wanted %d and %.3f: %v", r.Count, r.Most, c.breaches, c.most, r.Breaches)
			}
		})
	}
}

func TestDraws(t *testing.T) {
	limits := Limits{"b": {{0, 10}}}
	steady := "clock 1 0\n"
	for at := 0; at < 2_000_000; at += 100_000 {
		steady += strings.NewReplacer("FROM", itoa(at+1), "TO", itoa(at+100_001)).Replace("drew FROM TO b 1\n")
	}
	r := Report{Budget: "b"}
	if r.Draws([]*Process{process(t, "n1", steady)}, limits, 0, 500_000, 1_000_000); r.Count != 0 || r.Drawn != 20 {
		t.Errorf("ten a second of ten a second: %v, %d drawn", r.Breaches, r.Drawn)
	}
	r = Report{Budget: "b"}
	if r.Draws([]*Process{process(t, "n1", steady), process(t, "n2", "clock 1 0\ndrew 500000 500100 b 3\n")}, limits, 2, 500_000); r.Count == 0 || r.Over != 3 {
		t.Errorf("three more in an instant, two may be ahead: %v, over %d", r.Breaches, r.Over)
	}
	r = Report{Budget: "b"}
	if r.Draws([]*Process{process(t, "n1", "clock 1 0\ndrew 1 9000000 b 60\n")}, limits, 0, 500_000); r.Count != 0 {
		t.Errorf("drawn somewhere in nine seconds: %v", r.Breaches)
	}
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

func TestUnreadable(t *testing.T) {
	if p := process(t, "n1", "clock 5 0\nhere 9\nhave 12 b"); p.Last != 9 {
		t.Errorf("a line that was cut counts: %+v", p)
	}
	for _, bad := range []string{"clock 5 0\nhere 4\n", "here x\n", "have 1 b 2\n", "went 5\n"} {
		if _, err := Read("n1", strings.NewReader(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

func TestOut(t *testing.T) {
	all := make([]*Process, 0, 6)
	for i, s := range []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 1 0\nhere 250\n"} {
		all = append(all, process(t, "n"+itoa(i), s), process(t, "n"+itoa(i), "clock 300 0\nhere 900\n"))
	}
	if n := MaxUnavailable(all, 0, 1000); n != 3 {
		t.Errorf("%d are out at once, wanted 3", n)
	}
}

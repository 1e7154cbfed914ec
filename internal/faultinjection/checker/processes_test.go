package checker

import "testing"

func TestMaxUnavailable(t *testing.T) {
	all := make([]*Process, 0, 6)
	for i, s := range []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 1 0\nhere 250\n"} {
		all = append(all, process(t, "n"+itoa(i), s), process(t, "n"+itoa(i), "clock 300 0\nhere 900\n"))
	}
	if n := MaxUnavailable(all, 0, 1000); n != 3 {
		t.Errorf("%d are unavailable at once, wanted 3", n)
	}
}

// TestUnavailableSpans: a backend is unavailable between two of its processes, if that began in the span.
func TestUnavailableSpans(t *testing.T) {
	for _, c := range []struct {
		name     string
		logs     []string // of n1, n2, n1, n2
		from, to int64
		most     int
	}{
		{"overlapping", []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 300 0\nhere 900\n", "clock 300 0\nhere 900\n"}, 0, 1000, 2},
		{"one back as the other ends", []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 200 0\nhere 900\n", "clock 300 0\nhere 900\n"}, 0, 1000, 1},
		{"the successor was there before", []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 90 0\nhere 900\n", "clock 150 0\nhere 900\n"}, 0, 1000, 0},
		{"one replaced before its end, one after", []string{"clock 1 0\nhere 200\n", "clock 1 0\nhere 100\n", "clock 90 0\nhere 900\n", "clock 150 0\nhere 900\n"}, 0, 1000, 1},
		{"begun before the span", []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 300 0\nhere 900\n", "clock 300 0\nhere 900\n"}, 200, 1000, 1},
		{"begun after the span", []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 300 0\nhere 900\n", "clock 300 0\nhere 900\n"}, 0, 100, 1},
		{"read in another order", []string{"clock 300 0\nhere 900\n", "clock 300 0\nhere 900\n", "clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n"}, 0, 1000, 2},
		{"gone for good", []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n"}, 0, 1000, 0},
	} {
		all := make([]*Process, 0, len(c.logs))
		for i, log := range c.logs {
			all = append(all, process(t, "n"+itoa(1+i%2), log))
		}
		if most := MaxUnavailable(all, c.from, c.to); most != c.most {
			t.Errorf("%s: %d were unavailable at once, wanted %d", c.name, most, c.most)
		}
	}
}

// TestConcurrentStarts: a process counts as starting for the span, or until it ended.
func TestConcurrentStarts(t *testing.T) {
	for _, c := range []struct {
		name string
		logs []string
		most int
	}{
		{"two within the span", []string{"clock 100 0\nhere 9000\n", "clock 399 0\nhere 9000\n"}, 2},
		{"one begins as the other's span ends", []string{"clock 100 0\nhere 9000\n", "clock 400 0\nhere 9000\n"}, 1},
		{"one ended before the other began", []string{"clock 100 0\nhere 200\n", "clock 300 0\nhere 9000\n"}, 1},
		{"one ended after the other began", []string{"clock 100 0\nhere 350\n", "clock 300 0\nhere 9000\n"}, 2},
		{"one that wrote no more than that it began", []string{"clock 100 0\n", "clock 100 0\nhere 9000\n"}, 1},
	} {
		if most := MaxConcurrentStarts(processes(t, c.logs...), 300); most != c.most {
			t.Errorf("%s: %d were starting at once, wanted %d", c.name, most, c.most)
		}
	}
}

package checker

import (
	"strconv"
	"testing"
)

// TestMaxUnavailableCountsOverlappingOutages verifies that overlapping outages of several backends are counted.
func TestMaxUnavailableCountsOverlappingOutages(t *testing.T) {
	all := make([]*Process, 0, 6)
	for i, s := range []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n", "clock 1 0\nhere 250\n"} {
		all = append(
			all,
			readProcess(t, "n"+strconv.Itoa(i), s),
			readProcess(t, "n"+strconv.Itoa(i), "clock 300 0\nhere 900\n"),
		)
	}
	if n := MaxUnavailable(all, 0, 1000); n != 3 {
		t.Errorf("got %d unavailable at once, want 3", n)
	}
}

// unavailableSpans lists logs of the backends n1, n2, n1 and n2 with the highest number unavailable.
var unavailableSpans = []struct {
	name     string
	logs     []string // of n1, n2, n1, n2
	from, to int64
	most     int
}{
	{
		name: "overlapping",
		logs: []string{
			"clock 1 0\nhere 100\n",
			"clock 1 0\nhere 200\n",
			"clock 300 0\nhere 900\n",
			"clock 300 0\nhere 900\n",
		},
		from: 0,
		to:   1000,
		most: 2,
	},
	{
		name: "one returns as the other ends",
		logs: []string{
			"clock 1 0\nhere 100\n",
			"clock 1 0\nhere 200\n",
			"clock 200 0\nhere 900\n",
			"clock 300 0\nhere 900\n",
		},
		from: 0,
		to:   1000,
		most: 1,
	},
	{
		name: "successors before the ends",
		logs: []string{
			"clock 1 0\nhere 100\n",
			"clock 1 0\nhere 200\n",
			"clock 90 0\nhere 900\n",
			"clock 150 0\nhere 900\n",
		},
		from: 0,
		to:   1000,
		most: 0,
	},
	{
		name: "one successor before an end, one after",
		logs: []string{
			"clock 1 0\nhere 200\n",
			"clock 1 0\nhere 100\n",
			"clock 90 0\nhere 900\n",
			"clock 150 0\nhere 900\n",
		},
		from: 0,
		to:   1000,
		most: 1,
	},
	{
		name: "an outage that began before the span",
		logs: []string{
			"clock 1 0\nhere 100\n",
			"clock 1 0\nhere 200\n",
			"clock 300 0\nhere 900\n",
			"clock 300 0\nhere 900\n",
		},
		from: 200,
		to:   1000,
		most: 1,
	},
	{
		name: "an outage that began after the span",
		logs: []string{
			"clock 1 0\nhere 100\n",
			"clock 1 0\nhere 200\n",
			"clock 300 0\nhere 900\n",
			"clock 300 0\nhere 900\n",
		},
		from: 0,
		to:   100,
		most: 1,
	},
	{
		name: "logs in another order",
		logs: []string{
			"clock 300 0\nhere 900\n",
			"clock 300 0\nhere 900\n",
			"clock 1 0\nhere 100\n",
			"clock 1 0\nhere 200\n",
		},
		from: 0,
		to:   1000,
		most: 2,
	},
	{
		name: "no successors",
		logs: []string{"clock 1 0\nhere 100\n", "clock 1 0\nhere 200\n"},
		from: 0,
		to:   1000,
		most: 0,
	},
}

// TestMaxUnavailableCountsOutagesThatBeginInSpan verifies that a backend counts as unavailable between two of its
// processes, if the outage began in the span.
func TestMaxUnavailableCountsOutagesThatBeginInSpan(t *testing.T) {
	for _, c := range unavailableSpans {
		t.Run(c.name, func(t *testing.T) {
			all := make([]*Process, 0, len(c.logs))
			for i, log := range c.logs {
				all = append(all, readProcess(t, "n"+strconv.Itoa(1+i%2), log))
			}
			if most := MaxUnavailable(all, c.from, c.to); most != c.most {
				t.Errorf("got %d unavailable at once, want %d", most, c.most)
			}
		})
	}
}

// TestProcessIsStartingForDurationOrUntilItsEnd verifies that a process counts as starting for the given duration or
// until its end.
func TestProcessIsStartingForDurationOrUntilItsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		logs []string
		most int
	}{
		{
			name: "two within the duration",
			logs: []string{"clock 100 0\nhere 9000\n", "clock 399 0\nhere 9000\n"},
			most: 2,
		},
		{
			name: "one begins as the other's duration ends",
			logs: []string{"clock 100 0\nhere 9000\n", "clock 400 0\nhere 9000\n"},
			most: 1,
		},
		{
			name: "one ended before the other began",
			logs: []string{"clock 100 0\nhere 200\n", "clock 300 0\nhere 9000\n"},
			most: 1,
		},
		{
			name: "one ended after the other began",
			logs: []string{"clock 100 0\nhere 350\n", "clock 300 0\nhere 9000\n"},
			most: 2,
		},
		{
			name: "one without an entry after its first",
			logs: []string{"clock 100 0\n", "clock 100 0\nhere 9000\n"},
			most: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if most := MaxConcurrentStarts(readProcesses(t, c.logs...), 300); most != c.most {
				t.Errorf("got %d starting at once, want %d", most, c.most)
			}
		})
	}
}

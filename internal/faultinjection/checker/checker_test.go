package checker

import (
	"math"
	"strconv"
	"strings"
	"testing"
)

// readProcess reads a valid draw log.
func readProcess(t *testing.T, name, log string) *Process {
	t.Helper()
	p, err := Read(name, strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// readProcesses reads one valid draw log each for the backends n1, n2 and so on.
func readProcesses(t *testing.T, logs ...string) []*Process {
	t.Helper()
	all := make([]*Process, 0, len(logs))
	for i, log := range logs {
		all = append(all, readProcess(t, "n"+strconv.Itoa(i+1), log))
	}
	return all
}

// almostEqual reports whether two numbers are equal except for rounding errors.
func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

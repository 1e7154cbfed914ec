package checker

import (
	"math"
	"strconv"
	"strings"
	"testing"
)

// process reads a valid draw log.
func process(t *testing.T, name, log string) *Process {
	t.Helper()
	p, err := Read(name, strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// processes reads one valid draw log each for the backends n1, n2 and so on.
func processes(t *testing.T, logs ...string) []*Process {
	t.Helper()
	all := make([]*Process, 0, len(logs))
	for i, log := range logs {
		all = append(all, process(t, "n"+strconv.Itoa(i+1), log))
	}
	return all
}

// near reports whether two numbers are equal but for rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

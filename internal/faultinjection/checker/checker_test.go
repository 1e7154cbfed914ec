package checker

import (
	"strings"
	"testing"
)

// process reads a draw log that has to be usable.
func process(t *testing.T, name, log string) *Process {
	t.Helper()
	p, err := Read(name, strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

// processes reads a draw log each, of backends n1, n2 and so on.
func processes(t *testing.T, logs ...string) []*Process {
	t.Helper()
	all := make([]*Process, 0, len(logs))
	for i, log := range logs {
		all = append(all, process(t, "n"+itoa(i+1), log))
	}
	return all
}

func near(a, b float64) bool { return a-b < 1e-9 && b-a < 1e-9 }

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

package checker

import (
	"strings"
	"testing"
)

func TestUnusableLines(t *testing.T) {
	if p := process(t, "n1", "clock 5 0\nhere 9\nhave 12 b"); p.Last != 9 {
		t.Errorf("a line that was cut counts: %+v", p)
	}
	for _, bad := range []string{"clock 5 0\nhere 4\n", "here x\n", "have 1 b 2\n", "went 5\n"} {
		if _, err := Read("n1", strings.NewReader(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

package agent

import (
	"os"
	"testing"

	"milletbarrow/internal/process"
)

// TestOnlyKnownEndedIncarnationIsNotAlive checks that a process counts as ended only if it is known to have ended: an
// ID that can't be parsed counts as alive.
func TestOnlyKnownEndedIncarnationIsNotAlive(t *testing.T) {
	self, err := process.Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	ended := self
	ended.Start++
	for _, test := range []struct {
		name string
		id   string
		want bool
	}{
		{"this process", IncarnationID(self), true},
		{"pid reused", IncarnationID(ended), false},
		{"another boot", "other-boot/" + self.String(), false},
		{"empty", "", true},
		{"no boot", "x", true},
		{"no pid", process.Boot() + "/x", true},
		{"no start time", process.Boot() + "/12", true},
	} {
		if got := incarnationAlive(test.id); got != test.want {
			t.Errorf("%s, %q: alive %t, want %t", test.name, test.id, got, test.want)
		}
	}
}

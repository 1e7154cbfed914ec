package schedule

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
)

// TestEarlierSchedulesRoundTrip verifies that schedules of an earlier release are read and written back byte for byte.
func TestEarlierSchedulesRoundTrip(t *testing.T) {
	files, err := os.ReadDir(compattest.File("."))
	if err != nil || len(files) < 7 {
		t.Fatalf("got %d schedules, want 7 or more; error %v", len(files), err)
	}
	for _, file := range files {
		text := compattest.Read(t, file.Name())
		s, err := Read(file.Name(), text)
		if err != nil {
			t.Error(err)
			continue
		}
		if diff := cmp.Diff(string(text), s.String()); diff != "" {
			t.Errorf("%s: earlier release (-), now (+):\n%s", file.Name(), diff)
		}
	}
}

// TestSeedsDrawSameScheduleAsEarlierRelease verifies that a seed draws the same schedule as in the earlier release.
func TestSeedsDrawSameScheduleAsEarlierRelease(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		name := fmt.Sprintf("drawn-%d.sx", seed)
		drawn := Random(seed, 5, 20, 24, 40*time.Second)
		if diff := cmp.Diff(string(compattest.Read(t, name)), drawn.String()); diff != "" {
			t.Errorf("%s: earlier release (-), now (+):\n%s", name, diff)
		}
	}
}

package schedule

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
)

// TestEarlierSchedules: schedules that an earlier release wrote are read, and written the same to the byte.
func TestEarlierSchedules(t *testing.T) {
	files, err := os.ReadDir(compattest.File("."))
	if err != nil || len(files) < 7 {
		t.Fatalf("%d schedules: %v", len(files), err)
	}
	for _, file := range files {
		text := compattest.Read(t, file.Name())
		table, err := Read(file.Name(), text)
		if err != nil {
			t.Error(err)
			continue
		}
		if diff := cmp.Diff(string(text), table.String()); diff != "" {
			t.Errorf("%s: written by the earlier release (-), and now (+):\n%s", file.Name(), diff)
		}
	}
}

// TestEarlierDraws: a seed draws the schedule that it drew in the earlier release.
func TestEarlierDraws(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		name := fmt.Sprintf("drawn-%d.sx", seed)
		drawn := Random(seed, 5, 20, 24, 40*time.Second)
		if diff := cmp.Diff(string(compattest.Read(t, name)), drawn.String()); diff != "" {
			t.Errorf("%s: drawn by the earlier release (-), and now (+):\n%s", name, diff)
		}
	}
}

//go:build !failpoint

package failpoint

import (
	"os"
	"path/filepath"
	"testing"
)

// TestEnvironmentIsIgnoredWithoutBuildTag checks that neither variable has an effect on a build without the tag.
func TestEnvironmentIsIgnoredWithoutBuildTag(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(FaultVariable, NoClockMargin)
	t.Setenv(CrashDirVariable, dir)
	armed := filepath.Join(dir, AfterStored)
	if err := os.WriteFile(armed, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	CrashAt(AfterStored)
	if Enabled(NoClockMargin) {
		t.Error("a fault is enabled without the build tag")
	}
	if _, err := os.Stat(armed); err != nil {
		t.Errorf("the file of the crash point was removed: %v", err)
	}
}

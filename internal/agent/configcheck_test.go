package agent

import (
	"errors"
	"os"
	"testing"
)

// TestUnusableConfigsAreReported checks that each unusable configuration of a host is reported with its instance and
// file, and that two instances with the same listen address are reported together.
func TestUnusableConfigsAreReported(t *testing.T) {
	h := newTestHost(t, "a", "b", "c", "d")
	if err := CheckConfigs(h.spec, "h1"); err != nil {
		t.Fatal(err)
	}
	sameAsA, err := os.ReadFile(h.configFile("a"))
	if err != nil {
		t.Fatal(err)
	}
	err = errors.Join(
		os.WriteFile(h.configFile("b"), sameAsA, 0o600),
		os.WriteFile(h.configFile("c"), []byte("{"), 0o600),
		os.Remove(h.configFile("d")),
	)
	if err != nil {
		t.Fatal(err)
	}
	joined, ok := CheckConfigs(h.spec, "h1").(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 3 {
		t.Fatalf("%v, want three errors", joined)
	}
	errs := joined.Unwrap()
	conflict, ok := errors.AsType[*ListenConflictError](errs[0])
	if !ok || conflict.First != "a" || conflict.Second != "b" {
		t.Errorf("%v, want a listen conflict of a and b", errs[0])
	}
	for i, name := range []string{"c", "d"} {
		err := errs[i+1]
		config, isConfig := errors.AsType[*ConfigError](err)
		unusable, isFile := errors.AsType[*ConfigFileError](err)
		if !isConfig || !isFile || config.Instance != name || unusable.File != h.configFile(name) {
			t.Fatalf("%s: %v", name, err)
		}
		if text := name + ": " + h.configFile(name) + ": " + unusable.Err.Error(); err.Error() != text {
			t.Errorf("%q, want %q", err, text)
		}
	}
	if !errors.Is(errs[2], os.ErrNotExist) {
		t.Errorf("%v, want ErrNotExist", errs[2])
	}
}

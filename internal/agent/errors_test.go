package agent

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// TestConfigErrors: of the configurations of a host each that can't be used is reported with its instance and file, and
// two that listen on one address with both.
func TestConfigErrors(t *testing.T) {
	h := newTestHost(t, "a", "b", "c", "d")
	file := func(name string) string { return filepath.Join(h.dir, name+".json") }
	if err := CheckConfigs(h.spec, "h1"); err != nil {
		t.Fatal(err)
	}
	sameAsA, err := os.ReadFile(file("a"))
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.WriteFile(file("b"), sameAsA, 0o600), os.WriteFile(file("c"), []byte("{"), 0o600), os.Remove(file("d"))); err != nil {
		t.Fatal(err)
	}
	joined, ok := CheckConfigs(h.spec, "h1").(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 3 {
		t.Fatalf("%v", joined)
	}
	errs := joined.Unwrap()
	if conflict, ok := errors.AsType[*ListenConflictError](errs[0]); !ok || conflict.First != "a" || conflict.Second != "b" {
		t.Errorf("%v", errs[0])
	}
	for i, name := range []string{"c", "d"} {
		err := errs[i+1]
		config, isConfig := errors.AsType[*ConfigError](err)
		unusable, isFile := errors.AsType[*ConfigFileError](err)
		if !isConfig || !isFile || config.Instance != name || unusable.File != file(name) {
			t.Fatalf("%s: %v", name, err)
		}
		if err.Error() != name+": "+file(name)+": "+unusable.Err.Error() {
			t.Errorf("%v", err)
		}
	}
	if !errors.Is(errs[2], os.ErrNotExist) {
		t.Errorf("%v", errs[2])
	}
}

// TestLaunchWithoutConfig: an instance whose configuration is gone is not launched, and the error names the file.
func TestLaunchWithoutConfig(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	file := a.loop.spec.Instance("a").ConfigFile
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	err := a.launch(t.Context(), a.loop.spec, fleet.Action{Kind: fleet.ActionLaunch, Name: "a", Incarnation: "a.1"})
	failed, ok := errors.AsType[*ActionError](err)
	if !ok || failed.Instance != "a" || failed.Action != fleet.ActionLaunch {
		t.Fatalf("%v", err)
	}
	unusable, ok := errors.AsType[*ConfigFileError](err)
	if !ok || unusable.File != file || err.Error() != file+": "+unusable.Err.Error() || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

// fakeCluster answers each command with a result or an error.
type fakeCluster struct {
	Cluster
	result quota.Result
	err    error
}

func (c *fakeCluster) Do(context.Context, quota.Command) (quota.Result, error) {
	return c.result, c.err
}

// TestWriteOffRejected: a rejection by the quota store names the holder; a store that does not answer is another error.
func TestWriteOffRejected(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	if err := a.WriteOff(t.Context(), "n1", "test"); !errors.Is(err, errNoQuotas) {
		t.Errorf("%v", err)
	}
	cluster := &fakeCluster{result: quota.Result{Rejection: "n1 holds nothing"}}
	a.options.Cluster = cluster
	err := a.WriteOff(t.Context(), "n1", "test")
	if rejected, ok := errors.AsType[*WriteOffError](err); !ok || rejected.Holder != "n1" || err.Error() != "n1 holds nothing" {
		t.Errorf("%v", err)
	}
	cluster.result.Rejection = ""
	if err := a.WriteOff(t.Context(), "n1", "test"); err != nil {
		t.Errorf("%v", err)
	}
	cluster.err = errors.New("no leader")
	err = a.WriteOff(t.Context(), "n1", "test")
	if status, ok := errors.AsType[*agentapi.StatusError](err); !ok || status.Status != 503 || status.Text != "no leader" {
		t.Errorf("%v", err)
	}
}

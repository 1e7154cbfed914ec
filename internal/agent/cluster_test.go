package agent

import (
	"errors"
	"net/http"
	"testing"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/quota"
)

// TestWriteOffErrors holds that a rejection by the quota store names the holder, and that a quota store that is missing
// or does not answer is another error.
func TestWriteOffErrors(t *testing.T) {
	a := mustNewIdleAgent(t, &memoryStore{})
	if err := a.WriteOff(t.Context(), "n1", "test"); !errors.Is(err, errNoQuotas) {
		t.Errorf("without quotas: %v, want errNoQuotas", err)
	}

	cluster := &fakeCluster{result: quota.Result{Rejection: "n1 holds nothing"}}
	a.options.Cluster = cluster
	err := a.WriteOff(t.Context(), "n1", "test")
	rejected, ok := errors.AsType[*WriteOffError](err)
	if !ok || rejected.Holder != "n1" || err.Error() != "n1 holds nothing" {
		t.Errorf("rejected: %v, want a WriteOffError of n1", err)
	}

	cluster.result.Rejection = ""
	if err := a.WriteOff(t.Context(), "n1", "test"); err != nil {
		t.Errorf("accepted: %v", err)
	}

	cluster.err = errors.New("no leader")
	err = a.WriteOff(t.Context(), "n1", "test")
	status, ok := errors.AsType[*agentapi.StatusError](err)
	if !ok || status.Status != http.StatusServiceUnavailable || status.Text != "no leader" {
		t.Errorf("no answer: %v, want status 503", err)
	}
}

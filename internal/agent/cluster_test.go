package agent

import (
	"errors"
	"net/http"
	"testing"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/quota"
)

// TestWriteOffRejectionNamesHolder checks that a rejection by the quota store is a WriteOffError that names the holder,
// and that other errors are returned if there is no quota store or it does not respond.
func TestWriteOffRejectionNamesHolder(t *testing.T) {
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
		t.Errorf("no response: %v, want status 503", err)
	}
}

package quotastore

import (
	"bytes"
	"testing"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

func TestRestoreRebuildsTotals(t *testing.T) {
	original, restored := &Store{state: quota.NewState()}, &Store{}
	original.state.Apply(quota.Command{Config: rateConfig(monotime.Second)})
	original.state.Apply(renewal(1))
	want := original.state.Usages()[0].InForce
	if want == 0 {
		t.Fatal("the original state has no units in force")
	}
	encoded, err := original.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.restore(bytes.NewReader(encoded)); err != nil {
		t.Fatal(err)
	}
	if got := restored.state.Usages()[0].InForce; got != want {
		t.Errorf("%d units in force after a restore, want %d", got, want)
	}
}

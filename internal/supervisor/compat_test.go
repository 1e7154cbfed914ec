package supervisor

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"milletbarrow/internal/compattest"
	"milletbarrow/internal/process"
)

// TestEarlierFormats checks that JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Report](t, "Report.json")
	compattest.RoundTrip[ActionRequest](t, "Order.json")
	compattest.RoundTrip[State](t, "State.json")
	compattest.RoundTrip[State](t, "state.json")
}

// stateOfBoot returns a copy of an earlier release's state file with the given boot ID.
func stateOfBoot(t *testing.T, boot string) (file string, content []byte) {
	t.Helper()
	written := compattest.Read(t, "state.json")
	var fields struct {
		Boot string `json:"boot"`
	}
	if err := json.Unmarshal(written, &fields); err != nil {
		t.Fatal(err)
	}
	content = bytes.Replace(written, []byte(fields.Boot), []byte(boot), 1)
	file = filepath.Join(t.TempDir(), "n1.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file, content
}

// TestStateFileOfEarlierReleaseIsRead checks that the state file of an earlier release is read: its instance runs
// if the host was not rebooted since, and has ended otherwise.
func TestStateFileOfEarlierReleaseIsRead(t *testing.T) {
	file, content := stateOfBoot(t, process.Boot())
	state, err := ReadState(file)
	if err != nil {
		t.Fatal(err)
	}
	compattest.SameJSON(t, "state.json", content, state)

	file, _ = stateOfBoot(t, "an earlier boot")
	if state, err = ReadState(file); err != nil {
		t.Fatal(err)
	}
	if !state.Ended || !state.End.Unobserved || state.Instance.PID != 0 {
		t.Errorf("written in an earlier boot, read as %+v", state)
	}
}

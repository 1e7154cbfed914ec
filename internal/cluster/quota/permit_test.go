package quota

import "testing"

// TestPermitsAreBoundedAndReleasedOnlyByTheirHost checks that reserved permits are not granted, and that
// only the host that acquired a permit releases it.
func TestPermitsAreBoundedAndReleasedOnlyByTheirHost(t *testing.T) {
	state := newTestState(t, Config{
		Version: 1,
		Limits:  []Limit{{Name: testPermits, Kind: Concurrency, Total: 3, Reserved: 1}},
	})
	command := func(name InstanceName, host string) *PermitCommand {
		return &PermitCommand{Limit: testPermits, Name: name, Host: host, AcquireID: "1"}
	}
	for i, name := range []InstanceName{"x", "y", "z"} {
		if result := state.Apply(Command{Acquire: command(name, "h")}); (result.Rejection == "") != (i < 2) {
			t.Fatalf("permit %d of 3 with one reserved: %q", i+1, result.Rejection)
		}
	}
	if state.Apply(Command{Release: command("x", "elsewhere")}); len(state.Permits[testPermits]) != 2 {
		t.Fatal("another host released a permit")
	}
	if state.Apply(Command{Release: command("x", "h")}); len(state.Permits[testPermits]) != 1 {
		t.Fatal("the host that acquired a permit did not release it")
	}
}

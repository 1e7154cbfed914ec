package loadgen

import (
	"context"
	"errors"
	"testing"

	"milletbarrow/internal/simulation"
)

// TestRunReturnsDistinctErrorTypes checks that callers can distinguish a missing backend, an address that is not on
// loopback, and an invalid scenario.
func TestRunReturnsDistinctErrorTypes(t *testing.T) {
	s := scenarioOf(simulation.Second)
	runWith := func(backends ...string) error {
		_, err := Run(context.Background(), Options{Scenario: s, Backends: backends})
		return err
	}
	if err := runWith(); !errors.Is(err, ErrNoBackend) {
		t.Errorf("no backend: %v", err)
	}
	var addressErr *AddressError
	err := runWith("127.0.0.1:1", "10.0.0.1:80")
	if !errors.As(err, &addressErr) || addressErr.Address != "10.0.0.1:80" {
		t.Errorf("another machine: %#v", err)
	}
	s.Hosts.Count = 0
	var scenarioErr *simulation.ScenarioError
	if err := runWith("127.0.0.1:1"); !errors.As(err, &scenarioErr) {
		t.Errorf("invalid scenario: %#v", err)
	}
}

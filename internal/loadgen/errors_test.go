package loadgen

import (
	"context"
	"errors"
	"testing"

	"milletbarrow/internal/simulation"
)

// TestErrorTypes: callers can tell a load without backends from one with a bad address.
func TestErrorTypes(t *testing.T) {
	s := day(simulation.Second)
	if _, err := Run(context.Background(), Options{Scenario: s}); !errors.Is(err, ErrNoBackend) {
		t.Errorf("no backend: %v", err)
	}
	var address *AddressError
	if _, err := Run(context.Background(), Options{Scenario: s, Backends: []string{"127.0.0.1:1", "10.0.0.1:80"}}); !errors.As(err, &address) || address.Address != "10.0.0.1:80" {
		t.Errorf("another machine: %#v", err)
	}
	s.Hosts.Count = 0
	var scenario *simulation.ScenarioError
	if _, err := Run(context.Background(), Options{Scenario: s, Backends: []string{"127.0.0.1:1"}}); !errors.As(err, &scenario) {
		t.Errorf("a scenario that can't be: %#v", err)
	}
}

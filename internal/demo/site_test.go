package demo

import (
	"testing"
	"time"
)

// TestFreeAddressIsNeverRepeated draws so many addresses that drawing without a memory repeats some: over 100 of 2,000
// out of the 28,232 ports that Linux draws from by default. Backends' addresses count as given out.
func TestFreeAddressIsNeverRepeated(t *testing.T) {
	scenario := Scenario(20, time.Second)
	site, err := NewSite(&scenario, "")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := site.Close(); err != nil {
			t.Error(err)
		}
	}()
	seen := map[string]bool{}
	for _, address := range site.Backends {
		if seen[address] {
			t.Errorf("two backends have %s", address)
		}
		seen[address] = true
	}
	for range 2000 {
		address, err := site.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was given out before", address)
		}
		seen[address] = true
	}
}

package demo

import (
	"testing"
	"time"
)

// TestFreeAddressIsNeverRepeated allocates 2,000 addresses. Without a record of allocated ones, more than 100 of them
// would be repeated, as Linux has 28,232 ephemeral ports by default. The addresses of backends count as allocated.
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
			t.Fatalf("%s was returned before", address)
		}
		seen[address] = true
	}
}

package quota

import "testing"

func TestOverstatedDemandTakesNoQuotaThatOthersNeed(t *testing.T) {
	fleet := newRenewingFleet(t, rateConfig(100, 5, 1, DivideByDemand))
	fleet.join("n0", "n1", "n2", "n3", "n4")
	fleet.draws = func(name InstanceName) int {
		if name == "n0" {
			return 5000
		}
		return 2 // 20 units per second, an equal share of the total
	}
	fleet.run(50)
	sum, byName := fleet.quotas()
	for _, name := range []InstanceName{"n1", "n2", "n3", "n4"} {
		if byName[name] < 19 {
			t.Errorf("%s has %d, want at least 19: %v", name, byName[name], byName)
		}
	}
	if sum > 100 {
		t.Errorf("%d units of 100 are granted", sum)
	}
}

// TestQuotaFollowsDemand checks that quota that one backend no longer needs moves to another within three leases, and
// that quotas stay nearly constant while demand is steady.
func TestQuotaFollowsDemand(t *testing.T) {
	fleet := newRenewingFleet(t, rateConfig(200, 2, 1, DivideByDemand))
	fleet.join("n0", "n1")
	busy := InstanceName("n0")
	fleet.draws = func(name InstanceName) int {
		if name == busy {
			return 40
		}
		return 0
	}
	fleet.run(60)
	if _, byName := fleet.quotas(); byName["n0"] < 180 {
		t.Errorf("all demand is at n0: %v, want at least 180 there", byName)
	}
	busy = "n1"
	fleet.run(30)
	if _, byName := fleet.quotas(); byName["n1"] < 198 {
		t.Errorf("three leases after demand moved to n1: %v, want at least 198 there", byName)
	}
	_, before := fleet.quotas()
	moved := int64(0)
	for range 30 {
		fleet.run(1)
		_, byName := fleet.quotas()
		moved += max(byName["n1"]-before["n1"], before["n1"]-byName["n1"])
		before = byName
	}
	if moved > 20 {
		t.Errorf("%d units moved in three leases of steady demand, want at most 20", moved)
	}
}

func TestTotalIsDividedAmongManyBackends(t *testing.T) {
	t.Run("200 join, then half are lost", func(t *testing.T) {
		fleet := newRenewingFleet(t, rateConfig(1000, 220, 1, DivideByDemand))
		fleet.draws = func(InstanceName) int { return 1 }
		fleet.join("n0", "n1", "n2")
		fleet.run(20)
		for i := 3; i < 203; i++ {
			fleet.join(backendName(i))
			if i%3 == 0 {
				fleet.run(1)
			}
		}
		fleet.run(20)
		const absentFloors = 17 // of the backends that never join
		if sum, _ := fleet.quotas(); sum != 1000-absentFloors {
			t.Errorf("%d units are granted to 203 backends, want %d", sum, 1000-absentFloors)
		}
		for i := 3; i < 203; i += 2 {
			delete(fleet.holders, backendName(i))
		}
		fleet.run(40)
		const lostFloors = 100 // stay reserved, as no exit was reported
		if sum, _ := fleet.quotas(); sum != 1000-absentFloors-lostFloors {
			t.Errorf("%d units are granted after half were lost, want %d", sum, 1000-absentFloors-lostFloors)
		}
	})
	t.Run("fewer units than backends", func(t *testing.T) {
		fleet := newRenewingFleet(t, rateConfig(5, 20, 0, DivideEvenly))
		fleet.draws = func(InstanceName) int { return 1 }
		for i := range 20 {
			fleet.join(backendName(i))
		}
		fleet.run(30)
		if sum, _ := fleet.quotas(); sum != 5 {
			t.Errorf("%d units are granted to 20 backends, want 5", sum)
		}
	})
}

package fleet

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// TestColdStartKeepsItsQuotaUnderFaults checks that, while agents restart, crash or lose the quota store, no more
// instances of all hosts start at once than the quota has units; and that after the faults all are ready, the cold
// start is done, no unit is held, and an instance that served before was not launched again.
func TestColdStartKeepsItsQuotaUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "hosts")
		each := rapid.IntRange(1, 6).Draw(t, "each")
		units := hosts + rapid.IntRange(1, 6).Draw(t, "more")
		fleet := newSimulatedFleet(t, hosts, each, units)
		firstHost := fleet.hosts[0]
		first := firstHost.m.Names()[0]
		if rapid.Bool().Draw(t, "some serve") {
			firstHost.mustCommand("up", KindStart, 60*second, first)
			fleet.advance(3 * second)
		}
		launchesBefore := firstHost.launches[first]
		fleet.coldStart("r")
		crashed := map[string]bool{} // by instance name
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			injectFault(t, fleet, crashed)
			fleet.advance(monotime.Micros(rapid.IntRange(1, 60).Draw(t, "steps")) * stepTime)
		}
		for _, host := range fleet.hosts {
			fleet.partitioned[host] = false
			host.crashNext = false
		}
		fleet.advance(180 * second)
		if fleet.maxStarting > units {
			t.Fatalf("%d instances started at once, with %d units", fleet.maxStarting, units)
		}
		if ready := fleet.readyCount(); ready != hosts*each {
			t.Fatalf("%d of %d are ready: %+v", ready, hosts*each, fleet.quotas.ColdStartStatuses())
		}
		for _, status := range fleet.quotas.ColdStartStatuses() {
			if !status.Done {
				t.Fatalf("the cold start is not done: %+v", status)
			}
		}
		if held := len(fleet.quotas.Permits[startsQuota]); held > 0 {
			t.Fatalf("%d units are held: %+v", held, fleet.quotas.Permits)
		}
		if launches := firstHost.launches[first]; launchesBefore > 0 && launches != launchesBefore {
			t.Fatalf("%s served and was launched again", first)
		}
	})
}

// injectFault restarts an agent, makes one crash before its next actions, toggles a partition, or crashes an instance
// that is starting. Each instance crashes at most once.
func injectFault(t *rapid.T, fleet *simulatedFleet, crashed map[string]bool) {
	host := rapid.SampledFrom(fleet.hosts).Draw(t, "host")
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		host.restart()
	case 1:
		host.crashNext = true
	case 2:
		fleet.partitioned[host] = !fleet.partitioned[host]
	case 3:
		name := rapid.SampledFrom(host.m.Names()).Draw(t, "name")
		if fake := host.fakes[name]; fake.alive && !fake.ready && !crashed[name] {
			fake.exit(Exit{Code: 1})
			crashed[name] = true
		}
	}
}

// TestColdStartWithoutQuotaStoreStartsOneInstanceAHostAtATime checks that hosts that can't reach the quota store wait
// for standaloneAfter and then start their instances one at a time.
func TestColdStartWithoutQuotaStoreStartsOneInstanceAHostAtATime(t *testing.T) {
	fleet := newSimulatedFleet(t, 3, 4, 9)
	for _, host := range fleet.hosts {
		fleet.partitioned[host] = true
	}
	fleet.coldStart("r")
	fleet.advance(4 * second)
	if ready := fleet.readyCount(); ready != 0 {
		t.Errorf("%d instances started before the quota store counted as silent", ready)
	}
	fleet.advance(40 * second)
	if ready := fleet.readyCount(); ready != 12 || fleet.maxStarting > 3 {
		t.Errorf("%d of 12 are ready, %d started at once, want at most one a host", ready, fleet.maxStarting)
	}
}

// TestQuotaSilenceFromBeforeAPauseInRequestsIsIgnored checks that a silence of the quota store before an hour without
// requests does not let a host start instances with its reserved unit at once.
func TestQuotaSilenceFromBeforeAPauseInRequestsIsIgnored(t *testing.T) {
	fleet := newSimulatedFleet(t, 1, 2, 3)
	host := fleet.hosts[0]
	fleet.partitioned[host] = true
	fleet.coldStart("before")
	fleet.advance(second)
	host.mustApply(CommandControl{CommandID: "before", Verb: VerbCancel, RequestedBy: "test"})
	fleet.advance(3600 * second)
	fleet.coldStart("now")
	fleet.advance(2 * second)
	if ready := fleet.readyCount(); ready != 0 {
		t.Errorf("%d started with the reserved unit after two seconds", ready)
	}
	fleet.advance(30 * second)
	if ready := fleet.readyCount(); ready != 2 {
		t.Errorf("%d of 2 are ready after half a minute", ready)
	}
}

// TestColdStartHaltsAfterFailures checks that a cold start whose instances all fail halts with a reason, and continues
// when an operator resumes it.
func TestColdStartHaltsAfterFailures(t *testing.T) {
	fleet := newSimulatedFleet(t, 3, 10, 12)
	fleet.spec.ColdStart.MaxFailures = 4
	fleet.setNeverReady(true)
	fleet.coldStart("r")
	fleet.advance(120 * second)
	launched := 0
	for _, host := range fleet.hosts {
		launched += len(host.launches)
	}
	status := fleet.quotas.ColdStartStatuses()[0]
	if status.HaltReason == "" || launched > 12 {
		t.Errorf("halt reason %q, %d of 30 instances were launched, want at most 12", status.HaltReason, launched)
	}
	fleet.setNeverReady(false)
	fleet.quotas.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{
		Limit: startsQuota, ID: "r", Action: "go-on", By: "test",
	}})
	fleet.advance(120 * second)
	if ready := fleet.readyCount(); ready < 20 {
		t.Errorf("%d are ready after the cold start was resumed, want at least 20: %+v",
			ready, fleet.quotas.ColdStartStatuses())
	}
}

package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// simulatedFleet is the machines of some hosts and one quota store that they can or can't reach.
type simulatedFleet struct {
	t           tester
	spec        *Spec
	quotas      *quota.State
	leaseKeeper quota.LeaseTracker
	hosts       []*simulatedHost
	partitioned map[*simulatedHost]bool
	replies     map[*simulatedHost][]Event // of the quota store, not delivered yet
	maxStarting int                        // starting or warming at once, ever
	coldStarted map[string]bool
}

func newSimulatedFleet(t tester, hosts, each, limit int) *simulatedFleet {
	text := "(fleet f"
	names := ""
	for h := range hosts {
		text += fmt.Sprintf(` (host h%d (agent "unix:/tmp/h%d") (peer "127.0.0.1:%d"))`, h+1, h+1, 7000+h)
		names += fmt.Sprintf(" h%d", h+1)
	}
	for h := range hosts {
		text += fmt.Sprintf(` (group g%d (host h%d) (config "%%n.json") (start-within 5s) (settle 1s) (range g%d-n 1 %d) (restart (most 3) (within 1m)))`, h, h+1, h, each)
	}
	if hosts == 2 { // a group of two is none
		names = " h1"
	}
	text += fmt.Sprintf(" (budgets (ledger%s) (budget starts (count %d) (alone yes))) (rise (budget starts) (failures 100)))", names, limit)
	fleet := &simulatedFleet{t: t, spec: readTestSpec(t, text), quotas: quota.NewState(), partitioned: map[*simulatedHost]bool{}, replies: map[*simulatedHost][]Event{}, coldStarted: map[string]bool{}}
	fleet.quotas.Apply(quota.Command{Config: fleet.spec.Quotas})
	for h := range hosts {
		host := newNamedHost(t, fleet.spec, fmt.Sprint("h", h+1))
		host.dropAction = func(action Action) bool { return fleet.handleUnit(host, action) }
		fleet.hosts = append(fleet.hosts, host)
	}
	return fleet
}

// handleUnit takes an action on a unit to the quota store, as an agent would.
func (fleet *simulatedFleet) handleUnit(host *simulatedHost, action Action) bool {
	request := &quota.PermitCommand{
		Limit:     quota.LimitName(action.Unit.Quota),
		Name:      quota.InstanceName(action.Name),
		Host:      host.name,
		AcquireID: action.ID,
	}
	switch {
	case action.Kind != ActionAcquireUnit && action.Kind != ActionReleaseUnit:
		return false
	case fleet.partitioned[host]:
	case action.Kind == ActionReleaseUnit:
		request.Outcome = &action.StartResult
		fleet.quotas.Apply(quota.Command{Release: request})
		fleet.replies[host] = append(fleet.replies[host], UnitReleased{action.Name, action.ID})
	default:
		r := fleet.quotas.Apply(quota.Command{Acquire: request})
		fleet.replies[host] = append(fleet.replies[host], UnitAcquired{HeldUnit{action.Name, action.Unit.Quota, action.ID}, r.Rejection == "", r.Rejection})
	}
	return true
}

// advance lets time go by everywhere.
func (fleet *simulatedFleet) advance(span monotime.Micros) {
	for end := fleet.hosts[0].now + span; fleet.hosts[0].now < end; {
		for _, host := range fleet.hosts {
			host.advance(100_000, nil)
			for _, ev := range fleet.replies[host] {
				host.mustApply(ev)
			}
			fleet.replies[host] = nil
		}
		if over := fleet.leaseKeeper.ElapsedPauses(fleet.hosts[0].now, fleet.quotas); len(over) > 0 {
			fleet.quotas.Apply(quota.Command{ElapsedPauses: over})
		}
		starting := 0
		for _, host := range fleet.hosts {
			for n, fake := range host.fakes {
				if inst, _ := host.m.Instance(n); fake.alive && fleet.coldStarted[n] && host.now-fake.since < host.startupTime+second && inst.Phase != PhaseAbsent {
					starting++
				}
			}
		}
		fleet.maxStarting = max(fleet.maxStarting, starting)
	}
}

func (fleet *simulatedFleet) coldStart(id string) {
	instances := fleet.spec.InstancesOn("")
	members := make([]coldstart.Member, 0, len(instances))
	for _, inst := range instances {
		members = append(members, coldstart.Member{Name: inst.Name, Group: inst.Group, Host: inst.Host})
	}
	fleet.quotas.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{Limit: "starts", ID: id, Config: fleet.spec.ColdStart, Members: members, By: "test"}})
	for _, host := range fleet.hosts {
		for _, n := range host.m.Names() {
			fleet.coldStarted[n] = fleet.coldStarted[n] || !host.fakes[n].alive
		}
		host.mustCommand(id, KindColdStart, 600*second, host.m.Names()...)
	}
}

func (fleet *simulatedFleet) readyCount() (n int) {
	for _, host := range fleet.hosts {
		for _, fake := range host.fakes {
			if fake.ready {
				n++
			}
		}
	}
	return n
}

// TestColdStart: whichever agents die and whoever can't reach the ledger, no more start at once over all hosts than
// may, and once that is over all are up, the cold start is over, and nobody holds a unit.
func TestColdStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, each := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "each")
		limit := hosts + rapid.IntRange(1, 6).Draw(t, "more")
		fleet := newSimulatedFleet(t, hosts, each, limit)
		if rapid.Bool().Draw(t, "some serve") {
			fleet.hosts[0].mustCommand("up", KindStart, 60*second, fleet.hosts[0].m.Names()[0])
			fleet.advance(3 * second)
		}
		launched := fleet.hosts[0].launches[fleet.hosts[0].m.Names()[0]]
		fleet.coldStart("r")
		died := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			host := rapid.SampledFrom(fleet.hosts).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				host.restart()
			case 1:
				host.crashNext = true
			case 2:
				fleet.partitioned[host] = !fleet.partitioned[host]
			case 3:
				if n := rapid.SampledFrom(host.m.Names()).Draw(t, "name"); host.fakes[n].alive && !host.fakes[n].ready && !died[n] {
					host.fakes[n].exit(Exit{Code: 1})
					died[n] = true
				}
			}
			fleet.advance(monotime.Micros(rapid.IntRange(1, 60).Draw(t, "span")) * 100_000)
		}
		for _, host := range fleet.hosts {
			fleet.partitioned[host], host.crashNext = false, false
		}
		fleet.advance(180 * second)
		if fleet.maxStarting > limit {
			t.Fatalf("%d started at once, %d may", fleet.maxStarting, limit)
		}
		if n := fleet.readyCount(); n != hosts*each {
			t.Fatalf("%d of %d are up: %+v", n, hosts*each, fleet.quotas.ColdStartStatuses())
		}
		for _, r := range fleet.quotas.ColdStartStatuses() {
			if !r.Done {
				t.Fatalf("the cold start is not over: %+v", r)
			}
		}
		if held := len(fleet.quotas.Permits["starts"]); held > 0 {
			t.Fatalf("%d units are held: %+v", held, fleet.quotas.Permits)
		}
		if n := fleet.hosts[0].launches[fleet.hosts[0].m.Names()[0]]; launched > 0 && n != launched {
			t.Fatalf("one that served was launched again")
		}
	})
}

// TestColdStartWithoutQuotaStore: with the quota store out of reach for good each host brings its own up, one at a
// time.
func TestColdStartWithoutQuotaStore(t *testing.T) {
	fleet := newSimulatedFleet(t, 3, 4, 9)
	for _, host := range fleet.hosts {
		fleet.partitioned[host] = true
	}
	fleet.coldStart("r")
	fleet.advance(4 * second)
	if n := fleet.readyCount(); n != 0 {
		t.Errorf("%d started before anybody could know that the quota store is away", n)
	}
	fleet.advance(40 * second)
	if n := fleet.readyCount(); n != 12 || fleet.maxStarting > 3 {
		t.Errorf("%d of 12 are up, %d started at once, one a host may", n, fleet.maxStarting)
	}
}

// TestOldQuotaSilenceIsIgnored: that the quota store could not be reached an hour ago lets nobody start alone now.
func TestOldQuotaSilenceIsIgnored(t *testing.T) {
	fleet := newSimulatedFleet(t, 1, 2, 3)
	host := fleet.hosts[0]
	fleet.partitioned[host] = true
	fleet.coldStart("before")
	fleet.advance(second)
	host.mustApply(CommandControl{"before", "cancel", "test"})
	fleet.advance(3600 * second)
	fleet.coldStart("now")
	fleet.advance(2 * second)
	if n := fleet.readyCount(); n != 0 {
		t.Errorf("%d started alone after two seconds", n)
	}
	if fleet.advance(30 * second); fleet.readyCount() != 2 {
		t.Errorf("%d of 2 are up after half a minute", fleet.readyCount())
	}
}

// TestColdStartHaltsAfterFailures: a release of which each start fails stops after its failures, says so, and goes on
// on an operator's command.
func TestColdStartHaltsAfterFailures(t *testing.T) {
	fleet := newSimulatedFleet(t, 3, 10, 12)
	fleet.spec.ColdStart.MaxFailures = 4
	for _, host := range fleet.hosts {
		for _, fake := range host.fakes {
			fake.neverReady = true
		}
	}
	fleet.coldStart("r")
	fleet.advance(120 * second)
	began := 0
	for _, host := range fleet.hosts {
		began += len(host.launches)
	}
	r := fleet.quotas.ColdStartStatuses()[0]
	if r.HaltReason == "" || began > 12 {
		t.Errorf("halted %q, %d of 30 were tried", r.HaltReason, began)
	}
	for _, host := range fleet.hosts {
		for _, fake := range host.fakes {
			fake.neverReady = false
		}
	}
	fleet.quotas.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{Limit: "starts", ID: "r", Action: "go-on", By: "test"}})
	fleet.advance(120 * second)
	if n := fleet.readyCount(); n < 20 {
		t.Errorf("%d are up after the cause was mended: %+v", n, fleet.quotas.ColdStartStatuses())
	}
}

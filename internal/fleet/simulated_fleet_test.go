package fleet

import (
	"fmt"
	"strings"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// startsQuota is the concurrency quota of cold starts in a simulated fleet.
const startsQuota = "starts"

// simulatedFleet is some hosts and one quota store, from which each host may be partitioned.
type simulatedFleet struct {
	spec        *Spec
	quotas      *quota.State
	leases      quota.LeaseTracker
	hosts       []*simulatedHost
	partitioned map[*simulatedHost]bool
	replies     map[*simulatedHost][]Event // of the quota store, not delivered yet
	coldStarted map[string]bool            // by instance name: it was down when a cold start began
	maxStarting int                        // the most instances of a cold start that ever were not settled at once
}

func newSimulatedFleet(t tester, hosts, each, units int) *simulatedFleet {
	t.Helper()
	fleet := &simulatedFleet{
		spec:        readTestSpec(t, coldStartFleet(hosts, each, units)),
		quotas:      quota.NewState(),
		partitioned: map[*simulatedHost]bool{},
		replies:     map[*simulatedHost][]Event{},
		coldStarted: map[string]bool{},
	}
	fleet.quotas.Apply(quota.Command{Config: fleet.spec.Quotas})
	for _, spec := range fleet.spec.Hosts {
		host := newNamedHost(t, fleet.spec, spec.Name)
		host.dropAction = func(action Action) bool { return fleet.handleUnit(host, action) }
		fleet.hosts = append(fleet.hosts, host)
	}
	return fleet
}

// coldStartFleet writes a fleet with one group of each instances a host, and a quota of so many units for cold starts.
func coldStartFleet(hosts, each, units int) string {
	var text strings.Builder
	quotaHosts := ""
	for n := 1; n <= hosts; n++ {
		fmt.Fprintf(&text, ` (host h%d (agent "unix:/tmp/h%d") (peer "127.0.0.1:%d"))`, n, n, 6999+n)
		quotaHosts += fmt.Sprintf(" h%d", n)
	}
	for group := range hosts {
		fmt.Fprintf(&text, ` (group g%d (host h%d) (config "%%n.json") (start-within 5s) (settle 1s)`, group, group+1)
		fmt.Fprintf(&text, ` (range g%d-n 1 %d) (restart (most 3) (within 1m)))`, group, each)
	}
	if hosts == 2 { // two hosts can't form a quorum group
		quotaHosts = " h1"
	}
	fmt.Fprintf(&text, " (budgets (ledger%s) (budget %s (count %d) (alone yes)))", quotaHosts, startsQuota, units)
	fmt.Fprintf(&text, " (rise (budget %s) (failures 100))", startsQuota)
	return "(fleet f" + text.String() + ")"
}

// handleUnit carries out an action on a unit at the quota store. It reports whether the action is one on a unit.
func (fleet *simulatedFleet) handleUnit(host *simulatedHost, action Action) bool {
	if action.Kind != ActionAcquireUnit && action.Kind != ActionReleaseUnit {
		return false
	}
	if fleet.partitioned[host] {
		return true
	}
	request := &quota.PermitCommand{
		Limit:     quota.LimitName(action.Unit.Quota),
		Name:      quota.InstanceName(action.Name),
		Host:      host.name,
		AcquireID: action.ID,
	}
	var reply Event
	if action.Kind == ActionReleaseUnit {
		request.Outcome = &action.StartResult
		fleet.quotas.Apply(quota.Command{Release: request})
		reply = UnitReleased{Name: action.Name, RequestID: action.ID}
	} else {
		result := fleet.quotas.Apply(quota.Command{Acquire: request})
		reply = UnitAcquired{
			HeldUnit: HeldUnit{Name: action.Name, Quota: action.Unit.Quota, RequestID: action.ID},
			Granted:  result.Rejection == "",
			Cause:    result.Rejection,
		}
	}
	fleet.replies[host] = append(fleet.replies[host], reply)
	return true
}

// advance lets time pass on all hosts and at the quota store.
func (fleet *simulatedFleet) advance(span monotime.Micros) {
	for end := fleet.hosts[0].now + span; fleet.hosts[0].now < end; {
		for _, host := range fleet.hosts {
			host.advance(stepTime, nil)
			for _, reply := range fleet.replies[host] {
				host.mustApply(reply)
			}
			fleet.replies[host] = nil
		}
		if elapsed := fleet.leases.ElapsedPauses(fleet.hosts[0].now, fleet.quotas); len(elapsed) > 0 {
			fleet.quotas.Apply(quota.Command{ElapsedPauses: elapsed})
		}
		fleet.maxStarting = max(fleet.maxStarting, fleet.startingCount())
	}
}

// startingCount counts the instances of a cold start that run and have not settled.
func (fleet *simulatedFleet) startingCount() (starting int) {
	for _, host := range fleet.hosts {
		for name, fake := range host.fakes {
			inst, _ := host.m.Instance(name)
			settled := host.now-fake.since >= host.startupTime+second
			if fake.alive && fleet.coldStarted[name] && !settled && inst.Phase != PhaseAbsent {
				starting++
			}
		}
	}
	return starting
}

// coldStart begins a cold start at the quota store and on all hosts.
func (fleet *simulatedFleet) coldStart(id string) {
	instances := fleet.spec.InstancesOn("")
	members := make([]coldstart.Member, 0, len(instances))
	for _, inst := range instances {
		members = append(members, coldstart.Member{
			Name:  coldstart.MemberName(inst.Name),
			Group: coldstart.GroupName(inst.Group),
			Host:  inst.Host,
		})
	}
	fleet.quotas.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{
		Limit: startsQuota, ID: id, Config: fleet.spec.ColdStart, Members: members, By: "test",
	}})
	for _, host := range fleet.hosts {
		for _, name := range host.m.Names() {
			fleet.coldStarted[name] = fleet.coldStarted[name] || !host.fakes[name].alive
		}
		host.mustCommand(id, KindColdStart, 600*second, host.m.Names()...)
	}
}

// setNeverReady sets whether instances that start become ready, on all hosts.
func (fleet *simulatedFleet) setNeverReady(neverReady bool) {
	for _, host := range fleet.hosts {
		for _, fake := range host.fakes {
			fake.neverReady = neverReady
		}
	}
}

func (fleet *simulatedFleet) readyCount() (ready int) {
	for _, host := range fleet.hosts {
		for _, fake := range host.fakes {
			if fake.ready {
				ready++
			}
		}
	}
	return ready
}

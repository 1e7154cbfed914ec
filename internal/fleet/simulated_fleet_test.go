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

// simulatedFleet is a set of hosts and one quota store. Each host may be partitioned from the quota store.
type simulatedFleet struct {
	spec        *Spec
	quotas      *quota.State
	leases      quota.LeaseTracker
	hosts       []*simulatedHost
	partitioned map[*simulatedHost]bool
	replies     map[*simulatedHost][]Event // of the quota store; not delivered yet
	coldStarted map[string]bool            // by instance name; true: down when a cold start began
	maxStarting int                        // maximum of startingCount so far
}

func newSimulatedFleet(t tester, hosts, perHost, units int) *simulatedFleet {
	t.Helper()
	fleet := &simulatedFleet{
		spec:        readTestSpec(t, coldStartFleet(hosts, perHost, units)),
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

// coldStartFleet returns the file of a fleet with one group of perHost instances on each host, and a quota for cold
// starts.
func coldStartFleet(hosts, perHost, units int) string {
	var text strings.Builder
	quotaHosts := ""
	for n := 1; n <= hosts; n++ {
		fmt.Fprintf(&text, ` (host h%d (agent "unix:/tmp/h%d") (peer "127.0.0.1:%d"))`, n, n, 6999+n)
		quotaHosts += fmt.Sprintf(" h%d", n)
	}
	for group := range hosts {
		fmt.Fprintf(&text, ` (group g%d (host h%d) (config "%%n.json") (start-within 5s) (settle 1s)`, group, group+1)
		fmt.Fprintf(&text, ` (range g%d-n 1 %d) (restart (most 3) (within 1m)))`, group, perHost)
	}
	if hosts == 2 { // a quorum group can't have two members
		quotaHosts = " h1"
	}
	fmt.Fprintf(&text, " (budgets (ledger%s) (budget %s (count %d) (alone yes)))", quotaHosts, startsQuota, units)
	fmt.Fprintf(&text, " (rise (budget %s) (failures 100))", startsQuota)
	return "(fleet f" + text.String() + ")"
}

// handleUnit sends an action on a unit to the quota store. It reports whether the action is one on a unit.
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

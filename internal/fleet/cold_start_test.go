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
	s := &simulatedFleet{t: t, spec: readTestSpec(t, text), quotas: quota.NewState(), partitioned: map[*simulatedHost]bool{}, replies: map[*simulatedHost][]Event{}, coldStarted: map[string]bool{}}
	s.quotas.Apply(quota.Command{Config: s.spec.Quotas})
	for h := range hosts {
		w := newNamedHost(t, s.spec, fmt.Sprint("h", h+1))
		w.dropAction = func(action Action) bool { return s.handleUnit(w, action) }
		s.hosts = append(s.hosts, w)
	}
	return s
}

// handleUnit takes an action on a unit to the quota store, as an agent would.
func (s *simulatedFleet) handleUnit(w *simulatedHost, action Action) bool {
	request := &quota.PermitCommand{
		Limit: quota.LimitName(action.Unit.Quota), Name: quota.InstanceName(action.Name), Host: w.host, AcquireID: action.ID,
	}
	switch {
	case action.Kind != ActionAcquireUnit && action.Kind != ActionReleaseUnit:
		return false
	case s.partitioned[w]:
	case action.Kind == ActionReleaseUnit:
		request.Outcome = &action.StartResult
		s.quotas.Apply(quota.Command{Release: request})
		s.replies[w] = append(s.replies[w], UnitReleased{action.Name, action.ID})
	default:
		r := s.quotas.Apply(quota.Command{Acquire: request})
		s.replies[w] = append(s.replies[w], UnitAcquired{HeldUnit{action.Name, action.Unit.Quota, action.ID}, r.Rejection == "", r.Rejection})
	}
	return true
}

// advance lets time go by everywhere.
func (s *simulatedFleet) advance(span monotime.Micros) {
	for end := s.hosts[0].now + span; s.hosts[0].now < end; {
		for _, w := range s.hosts {
			w.advance(100_000, nil)
			for _, ev := range s.replies[w] {
				w.mustApply(ev)
			}
			s.replies[w] = nil
		}
		if over := s.leaseKeeper.ElapsedPauses(s.hosts[0].now, s.quotas); len(over) > 0 {
			s.quotas.Apply(quota.Command{ElapsedPauses: over})
		}
		starting := 0
		for _, w := range s.hosts {
			for n, l := range w.fakes {
				if in, _ := w.m.Instance(n); l.alive && s.coldStarted[n] && w.now-l.since < w.startupTime+second && in.Phase != PhaseAbsent {
					starting++
				}
			}
		}
		s.maxStarting = max(s.maxStarting, starting)
	}
}

func (s *simulatedFleet) coldStart(id string) {
	instances := s.spec.InstancesOn("")
	members := make([]coldstart.Member, 0, len(instances))
	for _, in := range instances {
		members = append(members, coldstart.Member{
			Name: coldstart.MemberName(in.Name), Group: coldstart.GroupName(in.Group), Host: in.Host,
		})
	}
	s.quotas.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{Limit: "starts", ID: id, Config: s.spec.ColdStart, Members: members, By: "test"}})
	for _, w := range s.hosts {
		for _, n := range w.m.Names() {
			s.coldStarted[n] = s.coldStarted[n] || !w.fakes[n].alive
		}
		w.mustCommand(id, KindColdStart, 600*second, w.m.Names()...)
	}
}

func (s *simulatedFleet) readyCount() (n int) {
	for _, w := range s.hosts {
		for _, l := range w.fakes {
			if l.ready {
				n++
			}
		}
	}
	return n
}

// TestColdStart: whichever agents die and whoever can't reach the ledger, no more start at once over all hosts than may, and once
// that is over all are up, the cold start is over, and nobody holds a unit.
func TestColdStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, each := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "each")
		limit := hosts + rapid.IntRange(1, 6).Draw(t, "more")
		s := newSimulatedFleet(t, hosts, each, limit)
		if rapid.Bool().Draw(t, "some serve") {
			s.hosts[0].mustCommand("up", KindStart, 60*second, s.hosts[0].m.Names()[0])
			s.advance(3 * second)
		}
		launched := s.hosts[0].launches[s.hosts[0].m.Names()[0]]
		s.coldStart("r")
		died := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			w := rapid.SampledFrom(s.hosts).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				w.restart()
			case 1:
				w.crashNext = true
			case 2:
				s.partitioned[w] = !s.partitioned[w]
			case 3:
				if n := rapid.SampledFrom(w.m.Names()).Draw(t, "name"); w.fakes[n].alive && !w.fakes[n].ready && !died[n] {
					w.fakes[n].exit(Exit{Code: 1})
					died[n] = true
				}
			}
			s.advance(monotime.Micros(rapid.IntRange(1, 60).Draw(t, "span")) * 100_000)
		}
		for _, w := range s.hosts {
			s.partitioned[w], w.crashNext = false, false
		}
		s.advance(180 * second)
		if s.maxStarting > limit {
			t.Fatalf("%d started at once, %d may", s.maxStarting, limit)
		}
		if n := s.readyCount(); n != hosts*each {
			t.Fatalf("%d of %d are up: %+v", n, hosts*each, s.quotas.ColdStartStatuses())
		}
		for _, r := range s.quotas.ColdStartStatuses() {
			if !r.Done {
				t.Fatalf("the cold start is not over: %+v", r)
			}
		}
		if held := len(s.quotas.Permits["starts"]); held > 0 {
			t.Fatalf("%d units are held: %+v", held, s.quotas.Permits)
		}
		if n := s.hosts[0].launches[s.hosts[0].m.Names()[0]]; launched > 0 && n != launched {
			t.Fatalf("one that served was launched again")
		}
	})
}

// TestColdStartWithoutQuotaStore: with the quota store out of reach for good each host brings its own up, one at a time.
func TestColdStartWithoutQuotaStore(t *testing.T) {
	s := newSimulatedFleet(t, 3, 4, 9)
	for _, w := range s.hosts {
		s.partitioned[w] = true
	}
	s.coldStart("r")
	s.advance(4 * second)
	if n := s.readyCount(); n != 0 {
		t.Errorf("%d started before anybody could know that the quota store is away", n)
	}
	s.advance(40 * second)
	if n := s.readyCount(); n != 12 || s.maxStarting > 3 {
		t.Errorf("%d of 12 are up, %d started at once, one a host may", n, s.maxStarting)
	}
}

// TestOldQuotaSilenceIsIgnored: that the quota store could not be reached an hour ago lets nobody start alone now.
func TestOldQuotaSilenceIsIgnored(t *testing.T) {
	s := newSimulatedFleet(t, 1, 2, 3)
	w := s.hosts[0]
	s.partitioned[w] = true
	s.coldStart("before")
	s.advance(second)
	w.mustApply(CommandControl{"before", "cancel", "test"})
	s.advance(3600 * second)
	s.coldStart("now")
	s.advance(2 * second)
	if n := s.readyCount(); n != 0 {
		t.Errorf("%d started alone after two seconds", n)
	}
	if s.advance(30 * second); s.readyCount() != 2 {
		t.Errorf("%d of 2 are up after half a minute", s.readyCount())
	}
}

// TestColdStartHaltsAfterFailures: a release of which each start fails stops after its failures, says so, and goes on on an operator's command.
func TestColdStartHaltsAfterFailures(t *testing.T) {
	s := newSimulatedFleet(t, 3, 10, 12)
	s.spec.ColdStart.MaxFailures = 4
	for _, w := range s.hosts {
		for _, l := range w.fakes {
			l.neverReady = true
		}
	}
	s.coldStart("r")
	s.advance(120 * second)
	began := 0
	for _, w := range s.hosts {
		began += len(w.launches)
	}
	r := s.quotas.ColdStartStatuses()[0]
	if r.HaltReason == "" || began > 12 {
		t.Errorf("halted %q, %d of 30 were tried", r.HaltReason, began)
	}
	for _, w := range s.hosts {
		for _, l := range w.fakes {
			l.neverReady = false
		}
	}
	s.quotas.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{Limit: "starts", ID: "r", Action: "go-on", By: "test"}})
	s.advance(120 * second)
	if n := s.readyCount(); n < 20 {
		t.Errorf("%d are up after the cause was mended: %+v", n, s.quotas.ColdStartStatuses())
	}
}

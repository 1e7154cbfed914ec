package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
)

// site is some hosts' machines and one ledger, as it is in installations, that they can or can't reach.
type site struct {
	t      tester
	spec   *Spec
	ledger *quota.State
	clerk  quota.LeaseTracker
	hosts  []*world
	cut    map[*world]bool
	later  map[*world][]Event // what the ledger answered
	most   int                // starting or warming at once, ever
	begun  map[string]bool
}

func newSite(t tester, hosts, each, whole int) *site {
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
	text += fmt.Sprintf(" (budgets (ledger%s) (budget starts (count %d) (alone yes))) (rise (budget starts) (failures 100)))", names, whole)
	s := &site{t: t, spec: spec(t, text), ledger: quota.NewState(), cut: map[*world]bool{}, later: map[*world][]Event{}, begun: map[string]bool{}}
	s.ledger.Apply(quota.Command{Config: s.spec.Quotas})
	for h := range hosts {
		w := newWorldAt(t, s.spec, fmt.Sprint("h", h+1))
		w.lose = func(step Action) bool { return s.unit(w, step) }
		s.hosts = append(s.hosts, w)
	}
	return s
}

// unit takes a step about units to the ledger, as an agent would.
func (s *site) unit(w *world, step Action) bool {
	turn := &quota.PermitCommand{Limit: step.Unit.Quota, Name: step.Name, Host: w.host, AcquireID: step.ID}
	switch {
	case step.Kind != ActionAcquireUnit && step.Kind != ActionReleaseUnit:
		return false
	case s.cut[w]:
	case step.Kind == ActionReleaseUnit:
		turn.Outcome = &step.StartResult
		s.ledger.Apply(quota.Command{Release: turn})
		s.later[w] = append(s.later[w], UnitReleased{step.Name, step.ID})
	default:
		r := s.ledger.Apply(quota.Command{Acquire: turn})
		s.later[w] = append(s.later[w], UnitAcquired{HeldUnit{step.Name, step.Unit.Quota, step.ID}, r.Rejection == "", r.Rejection})
	}
	return true
}

// pass lets time go by everywhere.
func (s *site) pass(span Micros) {
	for end := s.hosts[0].now + span; s.hosts[0].now < end; {
		for _, w := range s.hosts {
			w.pass(100_000, nil)
			for _, ev := range s.later[w] {
				w.do(ev)
			}
			s.later[w] = nil
		}
		if over := s.clerk.ElapsedPauses(quota.Micros(s.hosts[0].now), s.ledger); len(over) > 0 {
			s.ledger.Apply(quota.Command{ElapsedPauses: over})
		}
		starting := 0
		for _, w := range s.hosts {
			for n, l := range w.lives {
				if in, _ := w.m.Instance(n); l.alive && s.begun[n] && w.now-l.since < w.cold+second && in.Phase != PhaseAbsent {
					starting++
				}
			}
		}
		s.most = max(s.most, starting)
	}
}

func (s *site) rise(id string) {
	var members []coldstart.Member
	for _, in := range s.spec.InstancesOn("") {
		members = append(members, coldstart.Member{Name: in.Name, Group: in.Group, Host: in.Host})
	}
	s.ledger.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{Limit: "starts", ID: id, Config: s.spec.ColdStart, Members: members, By: "test"}})
	for _, w := range s.hosts {
		for _, n := range w.m.Names() {
			s.begun[n] = s.begun[n] || !w.lives[n].alive
		}
		w.order(id, KindColdStart, 600*second, w.m.Names()...)
	}
}

func (s *site) up() (n int) {
	for _, w := range s.hosts {
		for _, l := range w.lives {
			if l.ready {
				n++
			}
		}
	}
	return n
}

// TestRise: whichever agents die and whoever can't reach the ledger, no more start at once over all hosts than may, and once
// that is over all are up, the rise is over, and nobody holds a unit.
func TestRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, each := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "hosts"), rapid.IntRange(1, 6).Draw(t, "each")
		whole := hosts + rapid.IntRange(1, 6).Draw(t, "more")
		s := newSite(t, hosts, each, whole)
		if rapid.Bool().Draw(t, "some serve") {
			s.hosts[0].order("up", KindStart, 60*second, s.hosts[0].m.Names()[0])
			s.pass(3 * second)
		}
		launched := s.hosts[0].launch[s.hosts[0].m.Names()[0]]
		s.rise("r")
		died := map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(t, "faults") {
			w := rapid.SampledFrom(s.hosts).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				w.restart()
			case 1:
				w.dieNext = true
			case 2:
				s.cut[w] = !s.cut[w]
			case 3:
				if n := rapid.SampledFrom(w.m.Names()).Draw(t, "name"); w.lives[n].alive && !w.lives[n].ready && !died[n] {
					w.lives[n].die(Exit{Code: 1})
					died[n] = true
				}
			}
			s.pass(Micros(rapid.IntRange(1, 60).Draw(t, "span")) * 100_000)
		}
		for _, w := range s.hosts {
			s.cut[w], w.dieNext = false, false
		}
		s.pass(180 * second)
		if s.most > whole {
			t.Fatalf("%d started at once, %d may", s.most, whole)
		}
		if n := s.up(); n != hosts*each {
			t.Fatalf("%d of %d are up: %+v", n, hosts*each, s.ledger.ColdStartStatuses())
		}
		for _, r := range s.ledger.ColdStartStatuses() {
			if !r.Done {
				t.Fatalf("the rise is not over: %+v", r)
			}
		}
		if held := len(s.ledger.Permits["starts"]); held > 0 {
			t.Fatalf("%d units are held: %+v", held, s.ledger.Permits)
		}
		if n := s.hosts[0].launch[s.hosts[0].m.Names()[0]]; launched > 0 && n != launched {
			t.Fatalf("one that served was launched again")
		}
	})
}

// TestRiseAlone: with the ledger out of reach for good each host brings its own up, one at a time.
func TestRiseAlone(t *testing.T) {
	s := newSite(t, 3, 4, 9)
	for _, w := range s.hosts {
		s.cut[w] = true
	}
	s.rise("r")
	s.pass(4 * second)
	if n := s.up(); n != 0 {
		t.Errorf("%d started before anybody could know that the ledger is away", n)
	}
	s.pass(40 * second)
	if n := s.up(); n != 12 || s.most > 3 {
		t.Errorf("%d of 12 are up, %d started at once, one a host may", n, s.most)
	}
}

// TestOldSilence: that the ledger could not be reached an hour ago lets nobody start alone now.
func TestOldSilence(t *testing.T) {
	s := newSite(t, 1, 2, 3)
	w := s.hosts[0]
	s.cut[w] = true
	s.rise("before")
	s.pass(second)
	w.do(CommandControl{"before", "cancel", "test"})
	s.pass(3600 * second)
	s.rise("now")
	s.pass(2 * second)
	if n := s.up(); n != 0 {
		t.Errorf("%d started alone after two seconds", n)
	}
	if s.pass(30 * second); s.up() != 2 {
		t.Errorf("%d of 2 are up after half a minute", s.up())
	}
}

// TestRiseStops: a release of which each start fails stops after its failures, says so, and goes on at an operator's word.
func TestRiseStops(t *testing.T) {
	s := newSite(t, 3, 10, 12)
	s.spec.ColdStart.MaxFailures = 4
	for _, w := range s.hosts {
		for _, l := range w.lives {
			l.neverReady = true
		}
	}
	s.rise("r")
	s.pass(120 * second)
	began := 0
	for _, w := range s.hosts {
		began += len(w.launch)
	}
	r := s.ledger.ColdStartStatuses()[0]
	if r.HaltReason == "" || began > 12 {
		t.Errorf("halted %q, %d of 30 were tried", r.HaltReason, began)
	}
	for _, w := range s.hosts {
		for _, l := range w.lives {
			l.neverReady = false
		}
	}
	s.ledger.Apply(quota.Command{ColdStart: &quota.ColdStartCommand{Limit: "starts", ID: "r", Action: "go-on", By: "test"}})
	s.pass(120 * second)
	if n := s.up(); n < 20 {
		t.Errorf("%d are up after the cause was mended: %+v", n, s.ledger.ColdStartStatuses())
	}
}

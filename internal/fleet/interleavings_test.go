package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestInvariantsHoldUnderInterleavedFaults checks the machine's invariants under commands, controls, crashes, lost
// actions and late observations in any order, and that every command ends once the faults are over.
func TestInvariantsHoldUnderInterleavedFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := newHost(t, readTestSpec(t, drawFleet(t)))
		random := newRandom(rapid.Uint64().Draw(t, "seed"))
		checker := newInvariantChecker(t, host)
		host.check = checker.check
		host.dropAction = func(Action) bool { return random.IntN(10) == 0 }
		isHidden := func(string) bool { return random.IntN(5) == 0 }
		startAll(host)
		names := host.m.Names()
		drawFake := func(t *rapid.T) *fakeInstance {
			return host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
		}
		commands := 0
		t.Repeat(map[string]func(*rapid.T){
			"command": func(t *rapid.T) {
				kind := rapid.SampledFrom([]CommandKind{
					KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindRollingUpdate,
				}).Draw(t, "kind")
				some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, -1, rapid.ID).Draw(t, "names")
				within := monotime.Micros(rapid.IntRange(1, 60).Draw(t, "seconds")) * second
				commands++
				_ = host.command(fmt.Sprint("c", commands), kind, within, some...)
			},
			"control": func(t *rapid.T) {
				verb := rapid.SampledFrom([]Verb{VerbPause, VerbResume, VerbCancel}).Draw(t, "verb")
				id := fmt.Sprint("c", rapid.IntRange(1, commands+1).Draw(t, "id"))
				_ = host.apply(CommandControl{CommandID: id, Verb: verb, RequestedBy: "test"})
			},
			"crash": func(t *rapid.T) {
				if fake := drawFake(t); fake.alive {
					fake.exit(Exit{Code: 1})
				}
			},
			"supervisor crash": func(t *rapid.T) { drawFake(t).supervised = false },
			"toggle unresponsive": func(t *rapid.T) {
				fake := drawFake(t)
				fake.unresponsive = !fake.unresponsive
			},
			"toggle never ready": func(t *rapid.T) {
				fake := drawFake(t)
				fake.neverReady = !fake.neverReady
			},
			"late observations": func(*rapid.T) { // of incarnations that have ended
				for _, observed := range host.pastObservations {
					fake := host.fakes[observed.Name]
					if observed.Observation.Incarnation != fake.incarnation && random.IntN(3) == 0 {
						_ = host.apply(observed)
					}
				}
				host.pastObservations = nil
			},
			"agent crash":             func(*rapid.T) { host.restart() },
			"agent crash before acts": func(*rapid.T) { host.crashNext = true },
			"clock jump": func(t *rapid.T) {
				host.now += monotime.Micros(rapid.IntRange(0, 30).Draw(t, "seconds")) * second
			},
			"time": func(t *rapid.T) {
				host.advance(monotime.Micros(rapid.IntRange(1, 40).Draw(t, "steps"))*stepTime, isHidden)
			},
		})
		host.dropAction = nil
		host.crashNext = false
		host.advance(90*second, nil)
		checkAllEnded(t, host)
	})
}

// drawFleet draws the file of a fleet with one or two groups.
func drawFleet(t *rapid.T) string {
	groups := rapid.IntRange(1, 2).Draw(t, "groups")
	each := rapid.IntRange(1, 4).Draw(t, "each")
	spares := rapid.IntRange(0, 1).Draw(t, "spares")
	maxInProgress := rapid.IntRange(1, 3).Draw(t, "width")
	minReadyShare := rapid.SampledFrom([]float64{0, 0.5, 0.75, 1}).Draw(t, "least")
	maxFailures := rapid.IntRange(0, 2).Draw(t, "failures")
	order := rapid.SampledFrom([]string{OrderFile, OrderName, OrderSpread}).Draw(t, "order")
	update := fmt.Sprintf("(width %d) (least-share %v) (surge %d) (failures %d) (stall 8s) (order %s)",
		maxInProgress, minReadyShare, spares, maxFailures, order)
	return groupsOf(groups, each, spares, update)
}

// checkAllEnded fails unless every command is done with a result for each instance, and no instance runs that is not
// desired up.
func checkAllEnded(t *rapid.T, host *simulatedHost) {
	for _, command := range host.m.Commands() {
		if command.State != CommandDone || len(command.Results) != len(command.Names)+len(command.Spares) {
			t.Fatalf("command %s has not ended: %+v", command.ID, command)
		}
	}
	for _, name := range host.m.Names() {
		if inst, _ := host.m.Instance(name); !inst.DesiredUp && host.fakes[name].alive {
			t.Fatalf("%s is not desired up and runs: %+v", name, inst)
		}
	}
}

// commandInstance identifies one instance of a command.
type commandInstance struct {
	commandID string
	name      string
}

// invariantChecker checks the actions of a machine and its state after them.
type invariantChecker struct {
	t          *rapid.T
	host       *simulatedHost
	results    map[commandInstance]Result // as first recorded
	restarting map[commandInstance]bool   // notified by a rolling update, without a result
}

func newInvariantChecker(t *rapid.T, host *simulatedHost) *invariantChecker {
	return &invariantChecker{
		t:          t,
		host:       host,
		results:    map[commandInstance]Result{},
		restarting: map[commandInstance]bool{},
	}
}

// check fails the test if an invariant is violated.
func (c *invariantChecker) check(actions []Action) {
	c.checkInstances()
	c.checkResults()
	for _, action := range actions {
		inst, _ := c.host.m.Instance(action.Name)
		command := c.host.m.Command(inst.CommandID)
		byRollingUpdate := command != nil && command.Kind == KindRollingUpdate
		isRestart := action.Kind == ActionNotify && inst.DesiredUp && inst.GiveUpReason == ""
		if byRollingUpdate && isRestart && action.Cause != causeResent {
			c.checkRestart(command, inst)
		}
	}
}

// checkInstances checks that each notified instance has a deadline, and that each one without an incarnation is down.
func (c *invariantChecker) checkInstances() {
	for _, name := range c.host.m.Names() {
		inst, _ := c.host.m.Instance(name)
		if inst.NoticeID != "" && inst.PhaseDeadline == 0 {
			c.t.Fatalf("%s was notified and has no deadline: %+v", name, inst)
		}
		if inst.Incarnation == "" && !inst.Phase.Down() {
			c.t.Fatalf("%s is %s without an incarnation", name, inst.Phase)
		}
	}
}

// checkResults checks that no result has changed.
func (c *invariantChecker) checkResults() {
	for _, command := range c.host.m.Commands() {
		for name, result := range command.Results {
			key := commandInstance{command.ID, name}
			if first, seen := c.results[key]; seen && first != result {
				c.t.Fatalf("%s: the result of %s was %+v and is %+v", command.ID, name, first, result)
			}
			c.results[key] = result
			delete(c.restarting, key)
		}
	}
}

// checkRestart checks that the rolling update that notifies the instance keeps its bound on restarts in progress and
// the minimum of the group.
func (c *invariantChecker) checkRestart(command *Command, inst Instance) {
	c.restarting[commandInstance{command.ID, inst.Name}] = true
	inProgress := 0
	for key := range c.restarting {
		if key.commandID == command.ID {
			inProgress++
		}
	}
	if inProgress > command.Rollout.MaxInProgress {
		c.t.Fatalf("%s: %d in progress, at most %d may be: %v",
			command.ID, inProgress, command.Rollout.MaxInProgress, c.restarting)
	}
	ready := 0
	desiredUp := 0
	for _, name := range c.host.m.Names() {
		other, _ := c.host.m.Instance(name)
		if other.Group != inst.Group {
			continue
		}
		if other.DesiredUp && !other.Spare {
			desiredUp++
		}
		if other.Phase == PhaseReady && other.DesiredUp && other.NoticeID == "" && !other.RestartPending {
			ready++
		}
	}
	wasReady := c.host.fakes[inst.Name].ready
	if wasReady && ready < command.Rollout.minReady(desiredUp) {
		c.t.Fatalf("%s restarts %s, and %d of %d stay ready: %+v",
			command.ID, inst.Name, ready, desiredUp, command.Rollout)
	}
}

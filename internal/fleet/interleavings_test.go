package fleet

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestInterleavings: whatever comes in whatever order, never more is in progress than allowed, no incarnation is
// notified twice or launched beside another, none that was notified is without a deadline, results never change, and
// every command ends with exactly one an instance.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups, each := rapid.IntRange(1, 2).Draw(t, "groups"), rapid.IntRange(1, 4).Draw(t, "each")
		spares := rapid.IntRange(0, 1).Draw(t, "spares")
		update := fmt.Sprintf("(width %d) (least-share %v) (surge %d) (failures %d) (stall 8s) (order %s)",
			rapid.IntRange(1, 3).Draw(t, "width"), rapid.SampledFrom([]float64{0, 0.5, 0.75, 1}).Draw(t, "least"),
			spares, rapid.IntRange(0, 2).Draw(t, "failures"), rapid.SampledFrom([]string{"file", "name", "spread"}).Draw(t, "order"))
		host := newHost(t, readTestSpec(t, groupsOf(groups, each, spares, update)))
		rnd := newRandom(rapid.Uint64().Draw(t, "seed"))
		first := map[string]map[string]Result{}
		out := map[string]bool{}
		host.check = func(actions []Action) { checkInvariants(t, host, actions, first, out) }
		host.dropAction = func(Action) bool { return rnd.IntN(10) == 0 }
		blind := func(string) bool { return rnd.IntN(5) == 0 }
		startAll(host)
		orders := 0
		names := host.m.Names()
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				kind := rapid.SampledFrom([]CommandKind{KindStart, KindDrain, KindStop, KindRestart, KindRollingUpdate, KindRollingUpdate}).Draw(t, "kind")
				some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, -1, rapid.ID).Draw(t, "names")
				orders++
				_ = host.command(fmt.Sprint("c", orders), kind, monotime.Micros(rapid.IntRange(1, 60).Draw(t, "due"))*second, some...)
			},
			"steer": func(t *rapid.T) {
				verb := rapid.SampledFrom([]Verb{VerbPause, VerbResume, VerbCancel}).Draw(t, "verb")
				_ = host.apply(CommandControl{fmt.Sprint("c", rapid.IntRange(1, orders+1).Draw(t, "id")), verb, "test"})
			},
			"die": func(t *rapid.T) {
				fake := host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				if fake.alive {
					fake.exit(Exit{Code: 1})
				}
			},
			"supervisor dies": func(t *rapid.T) { host.fakes[rapid.SampledFrom(names).Draw(t, "name")].supervised = false },
			"unresponsive": func(t *rapid.T) {
				fake := host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				fake.unresponsive = !fake.unresponsive
			},
			"never ready": func(t *rapid.T) {
				fake := host.fakes[rapid.SampledFrom(names).Draw(t, "name")]
				fake.neverReady = !fake.neverReady
			},
			"late observation": func(*rapid.T) { // of an incarnation that is over
				for _, s := range host.pastObservations {
					if fake := host.fakes[s.Name]; s.Observation.Incarnation != fake.incarnation && rnd.IntN(3) == 0 {
						_ = host.apply(s)
					}
				}
				host.pastObservations = nil
			},
			"agent dies":      func(*rapid.T) { host.restart() },
			"agent dies next": func(*rapid.T) { host.crashNext = true },
			"clock jumps":     func(t *rapid.T) { host.now += monotime.Micros(rapid.IntRange(0, 30).Draw(t, "jump")) * second },
			"time":            func(t *rapid.T) { host.advance(monotime.Micros(rapid.IntRange(1, 40).Draw(t, "span"))*100_000, blind) },
		})
		host.dropAction, host.crashNext = nil, false
		host.advance(90*second, nil)
		for _, c := range host.m.Commands() {
			if c.State != CommandDone || len(c.Results) != len(c.Names)+len(c.Spares) {
				t.Fatalf("%s has not ended: %+v", c.ID, c)
			}
		}
		for _, n := range names {
			if inst, _ := host.m.Instance(n); !inst.DesiredUp && host.fakes[n].alive {
				t.Fatalf("%s is not desired up and runs: %+v", n, inst)
			}
		}
	})
}

// checkInvariants holds the actions and the state after them against what must be true at all times.
func checkInvariants(t *rapid.T, host *simulatedHost, actions []Action, first map[string]map[string]Result, out map[string]bool) {
	for _, n := range host.m.Names() {
		inst, _ := host.m.Instance(n)
		if inst.NoticeID != "" && inst.PhaseDeadline == 0 {
			t.Fatalf("%s was notified and has no deadline: %+v", n, inst)
		}
		if inst.Incarnation == "" && !inst.Phase.Down() {
			t.Fatalf("%s is %s without an incarnation", n, inst.Phase)
		}
	}
	for _, c := range host.m.Commands() {
		if first[c.ID] == nil {
			first[c.ID] = map[string]Result{}
		}
		for n, r := range c.Results {
			if was, had := first[c.ID][n]; had && was != r {
				t.Fatalf("%s: the result of %s was %+v and is %+v", c.ID, n, was, r)
			}
			first[c.ID][n] = r
			delete(out, c.ID+" "+n)
		}
	}
	for _, s := range actions {
		inst, _ := host.m.Instance(s.Name)
		c := host.m.Command(inst.CommandID)
		if s.Kind != ActionNotify || c == nil || c.Kind != KindRollingUpdate || !inst.DesiredUp || inst.GiveUpReason != "" || s.Cause == "again" {
			continue
		}
		out[c.ID+" "+s.Name] = true
		many := 0
		for n := range out {
			if strings.HasPrefix(n, c.ID+" ") {
				many++
			}
		}
		if many > c.Rollout.MaxInProgress {
			t.Fatalf("%s: %d out, width %d: %v", c.ID, many, c.Rollout.MaxInProgress, out)
		}
		ready, wanted := 0, 0
		for _, n := range host.m.Names() {
			if o, _ := host.m.Instance(n); o.Group == inst.Group {
				if o.DesiredUp && !o.Spare {
					wanted++
				}
				if o.Phase == PhaseReady && o.DesiredUp && o.NoticeID == "" && !o.RestartPending {
					ready++
				}
			}
		}
		if before := host.fakes[s.Name]; before.ready && ready < c.Rollout.minReady(wanted) {
			t.Fatalf("%s takes %s out, and %d of %d stay ready: %+v", c.ID, s.Name, ready, wanted, c.Rollout)
		}
	}
}

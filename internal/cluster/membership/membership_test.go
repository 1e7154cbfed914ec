package membership

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"milletbarrow/monotime"
)

// TestOnlyIsolatedAgentIsReportedDead checks that no agent is reported as dead while one link is interrupted, in one
// direction or both, that an agent that is isolated, or can't send to any other, is dead until it is reconnected, and
// that a restarted agent is alive with its new incarnation.
func TestOnlyIsolatedAgentIsReportedDead(t *testing.T) {
	const (
		joinLimit   = 20 * time.Second
		changeLimit = 30 * time.Second
		// interruption is longer than the others need to detect that an isolated agent is dead.
		interruption = 4 * time.Second
		// restartDuration is shorter than the others need to detect that an agent is dead.
		restartDuration = 300 * time.Millisecond
	)
	c := newCluster(t, 5)
	c.startAll()
	defer c.stopAll()
	for _, name := range c.Names {
		c.waitForState(name, Alive, joinLimit)
	}

	c.Direction("h1", "h2").Hold(true)
	time.Sleep(interruption)
	if n := c.deathCount(); n > 0 {
		t.Errorf("with the link from h1 to h2 interrupted: %d reports of a dead agent, want 0", n)
	}
	c.Direction("h2", "h1").Hold(true)
	time.Sleep(interruption)
	if n := c.deathCount(); n > 0 {
		t.Errorf("with the link between h1 and h2 interrupted: %d reports of a dead agent, want 0", n)
	}
	c.Direction("h1", "h2").Hold(false)
	c.Direction("h2", "h1").Hold(false)

	c.Isolate("h3", true, true, true)
	t.Logf("isolated: dead after %v", c.waitForState("h3", Dead, changeLimit))
	c.Isolate("h3", true, true, false)
	t.Logf("reconnected: alive after %v", c.waitForState("h3", Alive, changeLimit))
	c.Isolate("h4", true, false, true)
	t.Logf("unable to send: dead after %v", c.waitForState("h4", Dead, changeLimit))
	c.Isolate("h4", true, false, false)
	c.waitForState("h4", Alive, changeLimit)

	const newIncarnation = 55
	c.stop("h5")
	time.Sleep(restartDuration)
	c.start(4, newIncarnation)
	c.waitUntilOthersSee("h5", joinLimit, "alive with its new incarnation", func(m Member) bool {
		return m.Incarnation == newIncarnation && m.State == Alive
	})
}

// TestRunEndsAllGoroutines checks that after Run has returned, no goroutine of the library or of this package is
// running.
func TestRunEndsAllGoroutines(t *testing.T) {
	const joinLimit = 20 * time.Second
	c := newCluster(t, 2)
	c.startAll()
	c.waitForState("h1", Alive, joinLimit)
	c.waitForState("h2", Alive, joinLimit)
	c.stopAll()
	var stacks string
	defer func() {
		if t.Failed() {
			t.Logf("goroutines:\n%s", stacks)
		}
	}()
	waitUntil(t, waitTimeout, "all goroutines have ended", func() bool {
		buffer := make([]byte, 1<<20)
		stacks = string(buffer[:runtime.Stack(buffer, true)])
		return !strings.Contains(stacks, "memberlist.(*Memberlist)") && !strings.Contains(stacks, "membership.(*")
	})
}

// TestChangesAreReportedOnce checks that a change of state or incarnation is reported once, with its time, and that an
// agent that is not configured is ignored.
func TestChangesAreReportedOnce(t *testing.T) {
	l := newFakeClockList()
	events := eventDelegate{list: l.List}
	for _, step := range []struct {
		at     monotime.Micros
		notify func(*memberlist.Node)
		node   *memberlist.Node
		want   string // reported members
	}{
		{5, events.NotifyJoin, newLibraryNode("h2", 1), "[{h2 alive 1 5}]"},
		{6, events.NotifyJoin, newLibraryNode("h2", 1), "[]"},
		{7, events.NotifyJoin, newLibraryNode("h9", 1), "[]"},
		{8, events.NotifyLeave, newLibraryNode("h2", 1), "[{h2 gone 1 8}]"},
		{9, events.NotifyJoin, newLibraryNode("h2", 1), "[{h2 alive 1 9}]"},
		{10, events.NotifyUpdate, newLibraryNode("h2", 2), "[{h2 alive 2 10}]"}, // restarted before it was found dead
		{11, events.NotifyUpdate, newLibraryNode("h2", 2), "[]"},
		{12, events.NotifyLeave, newLibraryNode("h3", 9), "[{h3 gone 9 12}]"},
	} {
		l.now = step.at
		l.reported = nil
		step.notify(step.node)
		if got := fmt.Sprint(l.reported); got != step.want {
			t.Errorf("at %d: reported %s, want %s", step.at, got, step.want)
		}
	}
	l.now = 20
	const want = "[{h1 unheard 0 20} {h2 alive 2 10} {h3 gone 9 8} {h4 unheard 0 20}]"
	if got := fmt.Sprint(l.Members()); got != want {
		t.Errorf("members %s, want %s", got, want)
	}
}

// TestDeadAndUnknownAgentsAreAbsent checks that the agents to join are the dead and the unknown ones, without those
// that are alive and the local agent.
func TestDeadAndUnknownAgentsAreAbsent(t *testing.T) {
	l := newFakeClockList()
	events := eventDelegate{list: l.List}
	if got := l.absent(); !slices.Equal(got, []string{"h2", "h3", "h4"}) {
		t.Errorf("absent after the start: %v, want h2, h3 and h4", got)
	}
	events.NotifyJoin(newLibraryNode("h2", 1))
	events.NotifyJoin(newLibraryNode("h3", 1))
	events.NotifyLeave(newLibraryNode("h3", 1))
	if got := l.absent(); !slices.Equal(got, []string{"h3", "h4"}) {
		t.Errorf("absent with h2 alive, h3 dead and h4 unknown: %v, want h3 and h4", got)
	}
}

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

// TestOneBadLinkMakesNoAgentDead checks that a link that is cut, in one direction or both, makes no agent dead, that an
// agent that is cut off from all is dead until it is back, and that a restarted agent is judged by its new incarnation.
func TestOneBadLinkMakesNoAgentDead(t *testing.T) {
	const (
		joinLimit   = 20 * time.Second
		changeLimit = 30 * time.Second
		// cutDuration is longer than the others take to judge an agent dead that is cut off from all.
		cutDuration = 4 * time.Second
		// restartDuration is shorter than that.
		restartDuration = 300 * time.Millisecond
	)
	c := newCluster(t, 5)
	c.startAll()
	defer c.stopAll()
	for _, name := range c.Names {
		c.waitForState(name, Alive, joinLimit)
	}

	c.Direction("h1", "h2").Hold(true)
	time.Sleep(cutDuration)
	if n := c.deathCount(); n > 0 {
		t.Errorf("one direction between h1 and h2 was cut, and %d times an agent was judged dead", n)
	}
	c.Direction("h2", "h1").Hold(true)
	time.Sleep(cutDuration)
	if n := c.deathCount(); n > 0 {
		t.Errorf("the link between h1 and h2 was cut, and %d times an agent was judged dead", n)
	}
	c.Direction("h1", "h2").Hold(false)
	c.Direction("h2", "h1").Hold(false)

	c.Isolate("h3", true, true, true)
	t.Logf("cut off from all: dead after %v", c.waitForState("h3", Dead, changeLimit))
	c.Isolate("h3", true, true, false)
	t.Logf("connected again: alive after %v", c.waitForState("h3", Alive, changeLimit))
	c.Isolate("h4", true, false, true)
	t.Logf("what it sends is lost: dead after %v", c.waitForState("h4", Dead, changeLimit))
	c.Isolate("h4", true, false, false)
	c.waitForState("h4", Alive, changeLimit)

	const newIncarnation = 55
	c.stop("h5")
	time.Sleep(restartDuration)
	c.start(4, newIncarnation)
	c.waitUntilOthersSee("h5", joinLimit, "alive in its new incarnation", func(m Member) bool {
		return m.Incarnation == newIncarnation && m.State == Alive
	})
}

// TestRunEndsAllGoroutines checks that once lists have ended, no goroutine of the library or of the traffic goes on.
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
	waitUntil(t, waitTimeout, "no goroutine goes on", func() bool {
		buffer := make([]byte, 1<<20)
		stacks = string(buffer[:runtime.Stack(buffer, true)])
		return !strings.Contains(stacks, "memberlist.(*Memberlist)") && !strings.Contains(stacks, "membership.(*")
	})
}

// TestChangesAreReportedOnce checks that a change of state or incarnation is reported once, with its time, and that an
// agent that the configuration does not name is ignored.
func TestChangesAreReportedOnce(t *testing.T) {
	l := newFakeClockList()
	events := eventDelegate{list: l.List}
	for _, step := range []struct {
		at     monotime.Micros
		notify func(*memberlist.Node)
		node   *memberlist.Node
		want   string // what is reported
	}{
		{5, events.NotifyJoin, newLibraryNode("h2", 1), "[{h2 alive 1 5}]"},
		{6, events.NotifyJoin, newLibraryNode("h2", 1), "[]"},
		{7, events.NotifyJoin, newLibraryNode("stranger", 1), "[]"},
		{8, events.NotifyLeave, newLibraryNode("h2", 1), "[{h2 gone 1 8}]"},
		{9, events.NotifyJoin, newLibraryNode("h2", 1), "[{h2 alive 1 9}]"},
		{10, events.NotifyUpdate, newLibraryNode("h2", 2), "[{h2 alive 2 10}]"}, // restarted without being judged dead
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

// TestAbsentAgentsAreJoined checks that agents that are dead or of which nothing was heard are joined, but neither
// those that are alive nor this agent itself.
func TestAbsentAgentsAreJoined(t *testing.T) {
	l := newFakeClockList()
	events := eventDelegate{list: l.List}
	if got := l.absent(); !slices.Equal(got, []string{"h2", "h3", "h4"}) {
		t.Errorf("at first %v", got)
	}
	events.NotifyJoin(newLibraryNode("h2", 1))
	events.NotifyJoin(newLibraryNode("h3", 1))
	events.NotifyLeave(newLibraryNode("h3", 1))
	if got := l.absent(); !slices.Equal(got, []string{"h3", "h4"}) {
		t.Errorf("with one alive, one dead and one of which nothing was heard: %v", got)
	}
}

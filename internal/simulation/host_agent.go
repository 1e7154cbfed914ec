package simulation

import (
	"fmt"
	"slices"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// hostAgent is an agent with the real fleet's machine: it releases its hosts in a wave and starts them again. It sees them as an
// agent does, some time after they changed, and not at all while agents are gone.
type hostAgent struct {
	machine *fleet.Machine
	first   int // of its hosts
	running []string
	notices []string
	seen    []fleet.Observation
	names   []string
	lost    float64 // part of its notices
}

// Of one agent, and how often it looks.
const (
	hostsPerAgent = 500
	agentPeriod   = 25 * Millisecond
)

func agentName(k int) string { return fmt.Sprintf("h%d", k+1) }

// startAgents starts as many agents as the hosts need, for a release that the real fleet decides about.
func (w *world) startAgents() error {
	for first := 0; first < len(w.hosts); first += hostsPerAgent {
		c := &hostAgent{first: first}
		n := min(hostsPerAgent, len(w.hosts)-first)
		text := fmt.Sprintf("(fleet model (host a (agent \"unix:/a\")) (group g (host a) (config \"%%n\") (range h 1 %d) (settle 500ms) (start-within 60s) (restart (most 100) (within 1m))))", n)
		spec, err := fleet.ReadSpec("model", []byte(text), limits.ForControl())
		if err != nil {
			return err
		}
		c.machine = fleet.New(spec, "a", fleet.DefaultConfig(limits.ForControl(), w.policy), func(*fleet.InstanceSpec) fleet.ShutdownWindow {
			return fleet.ShutdownWindow{Grace: fleet.Micros(w.s.Hosts.Grace), ExitTimeout: fleet.Micros(w.s.Hosts.Stop)}
		})
		for k := range n {
			c.names = append(c.names, agentName(k))
			w.hosts[first+k].crewed = true
		}
		c.running, c.notices, c.seen = make([]string, n), make([]string, n), make([]fleet.Observation, n)
		if err := w.submit(c, &fleet.Command{ID: "start", Kind: fleet.KindStart, Names: c.names, RequestedBy: "model", Deadline: 60_000_000}); err != nil {
			return err
		}
		w.agents = append(w.agents, c)
		w.q.push(event{at: agentPeriod, kind: evAgent, a: int32(len(w.agents) - 1)})
	}
	return nil
}

// submit gives an agent's machine a command.
func (w *world) submit(c *hostAgent, command *fleet.Command) error {
	steps, _, err := c.machine.Decide(fleet.Micros(w.now), fleet.CommandReceived{Command: command})
	w.carryOut(c, slices.Clone(steps))
	return err
}

// rollOut has all hosts' agents begin a rolling update; its width is of each agent.
func (w *world) rollOut(i int) {
	t := &w.s.Troubles[i]
	for _, c := range w.agents {
		terms := fleet.DefaultRollingUpdate()
		terms.MaxInProgress = max(1, int(t.Width*float64(len(c.names))))
		terms.MinReadyShare = max(0, 1-2*t.Width)
		terms.MaxFailures = len(c.names)
		c.lost = t.Lost
		if err := w.submit(c, &fleet.Command{ID: fmt.Sprint("wave", i), Kind: fleet.KindRollingUpdate, Names: c.names, RequestedBy: "model", Deadline: fleet.Micros(w.now + 3600*Second), Rollout: &terms}); err != nil {
			w.res.Refused++
		}
	}
}

// tickAgent tells an agent what it sees, and lets it go on.
func (w *world) tickAgent(i int32) {
	c := w.agents[i]
	if w.now < w.s.For || w.busyA > 0 {
		w.q.push(event{at: w.now + agentPeriod, kind: evAgent, a: i})
	}
	if w.agentOff {
		return
	}
	now := fleet.Micros(w.now)
	for k := range c.names {
		h := &w.hosts[c.first+k]
		s := fleet.Observation{Phase: fleet.PhaseReady, Incarnation: c.running[k], NoticeID: c.notices[k]}
		switch {
		case !h.up:
			s.Phase = fleet.PhaseExited
		case c.notices[k] != "":
			s.Phase = fleet.PhaseDraining
		case !h.healthy:
			s.Phase = fleet.PhaseUnready
		}
		if s == c.seen[k] || s.Incarnation == "" {
			continue
		}
		c.seen[k] = s
		steps, _, _ := c.machine.Decide(now, fleet.InstanceObserved{Name: c.names[k], Observation: s})
		w.carryOut(c, slices.Clone(steps))
	}
	steps, _, _ := c.machine.Decide(now, fleet.Tick{})
	w.carryOut(c, slices.Clone(steps))
}

// carryOut does what an agent's machine says.
func (w *world) carryOut(c *hostAgent, steps []fleet.Action) {
	for _, s := range steps {
		k := slices.Index(c.names, s.Name)
		h := &w.hosts[c.first+k]
		switch s.Kind {
		case fleet.ActionLaunch:
			if !s.Adopt && c.running[k] != s.Incarnation {
				c.running[k], c.notices[k] = s.Incarnation, ""
				w.back(h)
			}
		case fleet.ActionNotify:
			if c.notices[k] != s.ID && h.up {
				c.notices[k] = s.ID
				w.notice(h, w.fate.Float64() < c.lost)
			}
		case fleet.ActionKill:
			if h.up {
				w.goDown(h, Reset)
			}
		}
	}
}

package simulation

import (
	"fmt"
	"slices"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// hostAgent is an agent that runs fleet.Machine unchanged: it releases its hosts by rolling update and starts them
// again. It observes them as an agent does, with a delay, and not at all while agents are unavailable. Slices are by
// host, from firstHost on.
type hostAgent struct {
	machine      *fleet.Machine
	firstHost    int // index of its first host
	incarnations []string
	notices      []string
	observed     []fleet.Observation
	names        []string
	lostNotices  float64 // share of its shutdown notices
}

// Hosts of one agent, and how often it polls them.
const (
	hostsPerAgent = 500
	agentPeriod   = 25 * Millisecond
)

// agentName returns the name of an agent's k-th instance, as in its fleet's file.
func agentName(k int) string { return fmt.Sprintf("h%d", k+1) }

// startAgents starts as many agents as the hosts need, for a release that is decided by fleet.Machine.
func (w *world) startAgents() error {
	for first := 0; first < len(w.hosts); first += hostsPerAgent {
		agent := &hostAgent{firstHost: first}
		n := min(hostsPerAgent, len(w.hosts)-first)
		text := fmt.Sprintf(
			"(fleet model (host a (agent \"unix:/a\")) (group g (host a) (config \"%%n\") (range h 1 %d) (settle 500ms) (start-within 60s) (restart (most 100) (within 1m))))",
			n,
		)
		spec, err := fleet.ReadSpec("model", []byte(text), limits.ForControl())
		if err != nil {
			return err
		}
		agent.machine = fleet.New(
			spec,
			"a",
			fleet.DefaultConfig(limits.ForControl(), w.policySeed),
			func(*fleet.InstanceSpec) fleet.ShutdownWindow {
				return fleet.ShutdownWindow{
					Grace:       w.scenario.Hosts.DrainGrace,
					ExitTimeout: w.scenario.Hosts.ExitTimeout,
				}
			},
		)
		for k := range n {
			agent.names = append(agent.names, agentName(k))
			w.hosts[first+k].managedByAgent = true
		}
		agent.incarnations, agent.notices, agent.observed = make(
			[]string,
			n,
		), make(
			[]string,
			n,
		), make(
			[]fleet.Observation,
			n,
		)
		if err := w.submit(
			agent,
			&fleet.Command{
				ID:          "start",
				Kind:        fleet.KindStart,
				Names:       agent.names,
				RequestedBy: "model",
				Deadline:    60_000_000,
			},
		); err != nil {
			return err
		}
		w.agents = append(w.agents, agent)
		w.queue.push(event{at: agentPeriod, kind: evAgent, subject: int32(len(w.agents) - 1)})
	}
	return nil
}

// submit passes a command to an agent's machine.
func (w *world) submit(agent *hostAgent, command *fleet.Command) error {
	steps, _, err := agent.machine.Decide(w.now, fleet.CommandReceived{Command: command})
	w.carryOut(agent, slices.Clone(steps))
	return err
}

// startFleetRelease has all agents begin a rolling update. Its batch is a share of each agent's hosts.
func (w *world) startFleetRelease(i int) {
	fault := &w.scenario.Faults[i]
	for _, agent := range w.agents {
		config := fleet.DefaultRollingUpdate()
		config.MaxInProgress = max(1, int(fault.BatchShare*float64(len(agent.names))))
		config.MinReadyShare = max(0, 1-2*fault.BatchShare)
		config.MaxFailures = len(agent.names)
		agent.lostNotices = fault.LostNotices
		if err := w.submit(
			agent,
			&fleet.Command{
				ID:          fmt.Sprint("wave", i),
				Kind:        fleet.KindRollingUpdate,
				Names:       agent.names,
				RequestedBy: "model",
				Deadline:    w.now + 3600*Second,
				Rollout:     &config,
			},
		); err != nil {
			w.result.RejectedReleases++
		}
	}
}

// tickAgent passes an agent its observations and a tick.
func (w *world) tickAgent(i int32) {
	agent := w.agents[i]
	if w.now < w.scenario.Duration || w.active > 0 {
		w.queue.push(event{at: w.now + agentPeriod, kind: evAgent, subject: i})
	}
	if w.agentsUnavailable {
		return
	}
	now := w.now
	for k := range agent.names {
		h := &w.hosts[agent.firstHost+k]
		s := fleet.Observation{Phase: fleet.PhaseReady, Incarnation: agent.incarnations[k], NoticeID: agent.notices[k]}
		switch {
		case !h.up:
			s.Phase = fleet.PhaseExited
		case agent.notices[k] != "":
			s.Phase = fleet.PhaseDraining
		case !h.healthy:
			s.Phase = fleet.PhaseUnready
		}
		if s == agent.observed[k] || s.Incarnation == "" {
			continue
		}
		agent.observed[k] = s
		steps, _, _ := agent.machine.Decide(now, fleet.InstanceObserved{Name: agent.names[k], Observation: s})
		w.carryOut(agent, slices.Clone(steps))
	}
	steps, _, _ := agent.machine.Decide(now, fleet.Tick{})
	w.carryOut(agent, slices.Clone(steps))
}

// carryOut performs the actions of an agent's machine.
func (w *world) carryOut(agent *hostAgent, steps []fleet.Action) {
	for _, s := range steps {
		k := slices.Index(agent.names, s.Name)
		h := &w.hosts[agent.firstHost+k]
		switch s.Kind {
		case fleet.ActionLaunch:
			if !s.Adopt && agent.incarnations[k] != s.Incarnation {
				agent.incarnations[k], agent.notices[k] = s.Incarnation, ""
				w.restart(h)
			}
		case fleet.ActionNotify:
			if agent.notices[k] != s.ID && h.up {
				agent.notices[k] = s.ID
				w.sendNotice(h, w.faultRand.Float64() < agent.lostNotices)
			}
		case fleet.ActionKill:
			if h.up {
				w.terminate(h, Reset)
			}
		}
	}
}

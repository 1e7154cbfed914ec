package simulation

import (
	"fmt"
	"slices"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// hostAgent is an agent that runs fleet.Machine, unchanged, to start its hosts and to release them by rolling update.
// It observes its hosts periodically, as a real agent does, and not at all while agents are unavailable. The slices are
// indexed by host, from firstHost on.
type hostAgent struct {
	machine      *fleet.Machine
	firstHost    int // index of its first host
	incarnations []string
	notices      []string
	observed     []fleet.Observation
	names        []string
	lostNotices  float64 // share of the shutdown notices that are lost
}

// Maximum number of hosts of one agent, and the interval at which it polls them.
const (
	hostsPerAgent = 500
	agentPeriod   = 25 * Millisecond
)

// agentName returns the name of the k-th instance of an agent, as in its fleet file.
func agentName(k int) string { return fmt.Sprintf("h%d", k+1) }

// startAgents starts an agent for each hostsPerAgent hosts. It is used if fleet.Machine decides a release.
func (w *world) startAgents() error {
	for first := 0; first < len(w.hosts); first += hostsPerAgent {
		agent := &hostAgent{firstHost: first}
		n := min(hostsPerAgent, len(w.hosts)-first)
		text := fmt.Sprintf(
			"(fleet model (host a (agent \"unix:/a\")) (group g (host a) (config \"%%n\") (range h 1 %d) "+
				"(settle 500ms) (start-within 60s) (restart (most 100) (within 1m))))",
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
		agent.incarnations, agent.notices = make([]string, n), make([]string, n)
		agent.observed = make([]fleet.Observation, n)
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

// submit passes a command to the machine of an agent.
func (w *world) submit(agent *hostAgent, command *fleet.Command) error {
	actions, _, err := agent.machine.Decide(w.now, fleet.CommandReceived{Command: command})
	w.executeActions(agent, slices.Clone(actions))
	return err
}

// startFleetRelease starts a rolling update on all agents. The batch size is a share of each agent's hosts.
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

// tickAgent passes changed observations and a tick to the machine of an agent.
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
		observation := fleet.Observation{
			Phase:       fleet.PhaseReady,
			Incarnation: agent.incarnations[k],
			NoticeID:    agent.notices[k],
		}
		switch {
		case !h.up:
			observation.Phase = fleet.PhaseExited
		case agent.notices[k] != "":
			observation.Phase = fleet.PhaseDraining
		case !h.healthy:
			observation.Phase = fleet.PhaseUnready
		}
		if observation == agent.observed[k] || observation.Incarnation == "" {
			continue
		}
		agent.observed[k] = observation
		actions, _, _ := agent.machine.Decide(
			now,
			fleet.InstanceObserved{Name: agent.names[k], Observation: observation},
		)
		w.executeActions(agent, slices.Clone(actions))
	}
	actions, _, _ := agent.machine.Decide(now, fleet.Tick{})
	w.executeActions(agent, slices.Clone(actions))
}

// executeActions performs the actions that the machine of an agent returned.
func (w *world) executeActions(agent *hostAgent, actions []fleet.Action) {
	for _, action := range actions {
		k := slices.Index(agent.names, action.Name)
		h := &w.hosts[agent.firstHost+k]
		switch action.Kind {
		case fleet.ActionLaunch:
			if !action.Adopt && agent.incarnations[k] != action.Incarnation {
				agent.incarnations[k], agent.notices[k] = action.Incarnation, ""
				w.restart(h)
			}
		case fleet.ActionNotify:
			if agent.notices[k] != action.ID && h.up {
				agent.notices[k] = action.ID
				w.sendNotice(h, w.faultRand.Float64() < agent.lostNotices)
			}
		case fleet.ActionKill:
			if h.up {
				w.terminate(h, Reset)
			}
		}
	}
}

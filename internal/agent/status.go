package agent

import (
	"os"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// Status returns the state of the agent and its instances. If the loop does not answer in time, StoreError says so.
func (a *Agent) Status() agentapi.Status {
	s := agentapi.Status{
		Version: agentapi.Version, Host: a.options.Host, Build: a.options.Build, PID: os.Getpid(),
		MonotonicMicros: int64(process.Now()), UptimeMicros: int64(process.Now() - a.startedAt),
	}
	var loop agentapi.Status
	if err := a.call(func(now monotime.Micros) { loop = a.loop.status(now) }); err != nil {
		s.StoreError = err.Error()
		return s
	}
	s.Fleet, s.LastSerial, s.StoreError = loop.Fleet, loop.LastSerial, loop.StoreError
	s.Instances, s.OpenCommands = loop.Instances, loop.OpenCommands
	return s
}

// status fills in what the loop owns.
func (l *loopState) status(now monotime.Micros) agentapi.Status {
	s := agentapi.Status{Fleet: l.spec.Name, LastSerial: l.nextSerial - 1}
	if l.storeErr != nil {
		s.StoreError = l.storeErr.Error()
	}
	for _, name := range l.machine.Names() {
		in, _ := l.machine.Instance(name)
		s.Instances = append(s.Instances, instanceStatus(now, in, l.reports[name]))
	}
	for _, c := range l.machine.Commands() {
		if c.State != fleet.CommandDone {
			s.OpenCommands = append(s.OpenCommands, c)
		}
	}
	return s
}

// instanceStatus joins the machine's state of an instance with the latest report of its supervisor, which may be nil.
func instanceStatus(now monotime.Micros, in fleet.Instance, report *supervisor.Report) agentapi.Instance {
	s := agentapi.Instance{
		Name: in.Name, Group: in.Group, Spare: in.Spare, DesiredUp: in.DesiredUp, Phase: in.Phase,
		PhaseAgeMicros: int64(now - in.PhaseSince), Cause: in.Cause, Task: in.CommandID,
		RecentRestarts: len(in.LaunchBudget.Attempts), Settled: in.Settled(now),
	}
	if in.PhaseDeadline != 0 {
		s.TimeLeftMicros = int64(in.PhaseDeadline - now)
	}
	if report != nil && report.Observation.Incarnation == in.Incarnation && !in.Phase.Down() {
		s.PID, s.SupervisorPID, s.State = report.Record.Instance.PID, report.Record.Supervisor.PID, report.State
	}
	return s
}

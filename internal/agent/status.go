package agent

import (
	"os"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// Status returns the state of the agent and its instances. If the loop does not respond in time, StoreError has the
// reason and the list of instances is empty.
func (a *Agent) Status() agentapi.Status {
	now := process.Now()
	s := agentapi.Status{
		Version:         agentapi.Version,
		Host:            a.options.Host,
		Build:           a.options.Build,
		PID:             os.Getpid(),
		MonotonicMicros: int64(now),
		UptimeMicros:    int64(now - a.startedAt),
	}
	complete := s // a copy: the loop may still write to it after call returned an error
	err := a.call(func(now monotime.Micros) { a.loop.addStatus(now, &complete) })
	if err != nil {
		s.StoreError = err.Error()
		return s
	}
	return complete
}

// addStatus fills in the parts of a status that the loop owns.
func (l *loopState) addStatus(now monotime.Micros, s *agentapi.Status) {
	s.Fleet = l.spec.Name
	s.LastSerial = l.nextSerial - 1
	if l.storeErr != nil {
		s.StoreError = l.storeErr.Error()
	}
	for _, name := range l.machine.Names() {
		in, _ := l.machine.Instance(name)
		s.Instances = append(s.Instances, instanceStatus(now, in, l.reportByInstance[name]))
	}
	for _, c := range l.machine.Commands() {
		if c.State != fleet.CommandDone {
			s.OpenCommands = append(s.OpenCommands, c)
		}
	}
}

// instanceStatus combines the machine's state of an instance with its supervisor's latest report, which may be nil.
func instanceStatus(now monotime.Micros, in fleet.Instance, report *supervisor.Report) agentapi.Instance {
	s := agentapi.Instance{
		Name:           in.Name,
		Group:          in.Group,
		Spare:          in.Spare,
		DesiredUp:      in.DesiredUp,
		Phase:          in.Phase,
		PhaseAgeMicros: int64(now - in.PhaseSince),
		Cause:          in.Cause,
		Task:           in.CommandID,
		RecentRestarts: len(in.LaunchBudget.Attempts),
		Settled:        in.Settled(now),
	}
	if in.PhaseDeadline != 0 {
		s.TimeLeftMicros = int64(in.PhaseDeadline - now)
	}
	if report != nil && report.Observation.Incarnation == in.Incarnation && !in.Phase.Down() {
		s.PID = report.Record.Instance.PID
		s.SupervisorPID = report.Record.Supervisor.PID
		s.State = report.State
	}
	return s
}

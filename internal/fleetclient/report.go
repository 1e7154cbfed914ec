package fleetclient

import (
	"errors"
	"slices"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

// HostReport is the result of a command on one host.
type HostReport struct {
	Host string `json:"host"`
	// Command is the last known state of the command; nil if the agent has not accepted it.
	Command *fleet.Command `json:"command,omitempty"`
	// Error is the reason why the command was rejected or the host not reached; empty if there is none.
	Error string `json:"error,omitempty"`
	// Reached is set if the agent answered.
	Reached bool `json:"reached"`
	// Rejected is set if the agent did not accept the command.
	Rejected bool `json:"refused,omitempty"`
	// Unknown is set if the agent has no command with this id.
	Unknown bool `json:"-"`
}

// Report is the result of a command on all of its hosts.
type Report struct {
	ID   string            `json:"id"`
	Kind fleet.CommandKind `json:"kind"`
	// Hosts are in the order of the fleet file.
	Hosts []HostReport `json:"hosts"`
	// Counts is the number of instances with each outcome.
	Counts map[fleet.Outcome]int `json:"counts"`
	// Open is the number of instances without an outcome.
	Open int `json:"open"`
	// Reason says why the command stopped before all hosts had begun or completed it; empty if it did not.
	Reason string `json:"why,omitempty"`
}

// Verdict classifies a report. A greater verdict is worse.
type Verdict int

// The verdicts; docs/fleet.md gives the exit code of each.
const (
	VerdictSucceeded   Verdict = iota // every instance has the requested outcome or was skipped
	VerdictPartial                    // an instance has another outcome, a host rejected the command, or it is paused
	VerdictTimedOut                   // an instance timed out or has no outcome
	VerdictUnreachable                // an agent could not be reached, so the state of its instances is unknown
)

// Verdict returns the worst verdict of all hosts and instances.
func (r *Report) Verdict() Verdict {
	verdict := VerdictSucceeded
	// A command that stopped or paused waits for an operator; its open instances have not timed out.
	paused := r.Reason != ""
	for i := range r.Hosts {
		host := &r.Hosts[i]
		if !host.Reached {
			return VerdictUnreachable
		}
		verdict = max(verdict, host.verdict())
		paused = paused || host.Command != nil && host.Command.State == fleet.CommandPaused
	}
	switch {
	case paused:
		verdict = max(verdict, VerdictPartial)
	case r.Open > 0:
		verdict = max(verdict, VerdictTimedOut)
	}
	return verdict
}

// verdict returns the worst verdict of one host, which was reached, and its instances.
func (h *HostReport) verdict() Verdict {
	if h.Rejected {
		return VerdictPartial
	}
	if h.Command == nil {
		return VerdictSucceeded
	}
	verdict := VerdictSucceeded
	for _, result := range h.Command.Results {
		switch {
		case result.Outcome == fleet.OutcomeTimedOut:
			verdict = max(verdict, VerdictTimedOut)
		case !result.Outcome.Satisfied() && result.Outcome != fleet.OutcomeSkipped:
			verdict = max(verdict, VerdictPartial)
		}
	}
	return verdict
}

// OnlyKnown removes the hosts that do not know the command from the report, and returns the report.
func (r *Report) OnlyKnown() *Report {
	r.Hosts = slices.DeleteFunc(r.Hosts, func(h HostReport) bool { return h.Unknown })
	if len(r.Hosts) == 0 {
		r.Reason = "no agent knows this command"
	}
	r.count()
	return r
}

// count sets Counts and Open from the commands of all hosts.
func (r *Report) count() {
	var commands []*fleet.Command
	for _, host := range r.Hosts {
		if host.Command != nil {
			commands = append(commands, host.Command)
		}
	}
	r.Counts, r.Open = fleet.CountOutcomes(commands...)
}

// failedReport returns the report of a host whose agent rejected the command or could not be reached.
func failedReport(host string, err error) HostReport {
	unknown := errors.Is(err, fleet.ErrUnknownCommand)
	_, rejected := errors.AsType[*agentapi.StatusError](err)
	answered := rejected || unknown
	return HostReport{
		Host:     host,
		Error:    err.Error(),
		Reached:  answered,
		Rejected: answered,
		Unknown:  unknown,
	}
}

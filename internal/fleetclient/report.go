package fleetclient

import (
	"errors"
	"slices"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
)

// HostReport is what came of a command at one agent.
type HostReport struct {
	Host     string         `json:"host"`
	Command  *fleet.Command `json:"command,omitempty"`
	Error    string         `json:"error,omitempty"`
	Reached  bool           `json:"reached"`
	Rejected bool           `json:"refused,omitempty"` // the agent did not take it
	Unknown  bool           `json:"-"`                 // the agent has no such command
}

// Report is what came of a command.
type Report struct {
	ID     string                `json:"id"`
	Kind   fleet.CommandKind     `json:"kind"`
	Hosts  []HostReport          `json:"hosts"`
	Counts map[fleet.Outcome]int `json:"counts"`
	Open   int                   `json:"open"` // instances without a result
	Reason string                `json:"why,omitempty"`
}

// Verdict is how a report is to be read, worst first.
type Verdict int

// The verdicts; docs/fleet.md gives the exit code of each.
const (
	VerdictSucceeded   Verdict = iota
	VerdictPartial             // some came out other than asked for, or a host did not take the command
	VerdictTimedOut            // the time ran out
	VerdictUnreachable         // an agent could not be reached: what became of its instances is not known
)

// Verdict returns the worst verdict that a host or an instance stands for.
func (r *Report) Verdict() Verdict {
	verdict := VerdictSucceeded
	paused := r.Reason != "" // it waits for a person: no time has run out
	for i := range r.Hosts {
		h := &r.Hosts[i]
		if !h.Reached {
			return VerdictUnreachable
		}
		verdict = max(verdict, h.verdict())
		paused = paused || h.Command != nil && h.Command.State == fleet.CommandPaused
	}
	switch {
	case paused:
		verdict = max(verdict, VerdictPartial)
	case r.Open > 0:
		verdict = max(verdict, VerdictTimedOut)
	}
	return verdict
}

// verdict is that of one host that was reached.
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

// OnlyKnown drops the hosts that never had the command from the report, and returns it.
func (r *Report) OnlyKnown() *Report {
	r.Hosts = slices.DeleteFunc(r.Hosts, func(h HostReport) bool { return h.Unknown })
	if len(r.Hosts) == 0 {
		r.Reason = "no agent knows this command"
	}
	r.count()
	return r
}

// count counts the outcomes of all hosts' commands.
func (r *Report) count() {
	var all []*fleet.Command
	for _, h := range r.Hosts {
		if h.Command != nil {
			all = append(all, h.Command)
		}
	}
	r.Counts, r.Open = fleet.CountOutcomes(all...)
}

// failedReport is the report of a host whose agent did not take the command, or could not be reached.
func failedReport(host string, err error) HostReport {
	unknown := errors.Is(err, fleet.ErrUnknownCommand)
	_, answered := errors.AsType[*agentapi.StatusError](err)
	answered = answered || unknown
	return HostReport{Host: host, Error: err.Error(), Reached: answered, Rejected: answered, Unknown: unknown}
}

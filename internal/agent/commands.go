package agent

import (
	"fmt"
	"net/http"
	"time"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// Limits of the fields of a request.
const (
	maxTimeout           = 24 * time.Hour
	maxRequestedByLength = 100 // bytes
)

// Submit accepts a command and returns it after it has been saved. A repeated request returns the existing command.
func (a *Agent) Submit(r agentapi.CommandRequest) (*fleet.Command, error) {
	if err := checkRequest(&r); err != nil {
		return nil, err
	}
	var command *fleet.Command
	var rejected error
	err := a.call(func(now monotime.Micros) {
		command, rejected = a.accept(now, r)
	})
	if err != nil {
		return nil, err
	}
	if rejected != nil {
		return nil, rejected
	}
	return command, nil
}

// checkRequest validates the fields of a request that the state machine does not validate.
func checkRequest(r *agentapi.CommandRequest) error {
	if r.TimeoutMicros <= 0 || r.TimeoutMicros > maxTimeout.Microseconds() {
		return &agentapi.StatusError{
			Status: http.StatusBadRequest,
			Text:   fmt.Sprintf("within_us: %d is not above 0 and at most a day", r.TimeoutMicros),
		}
	}
	if len(r.RequestedBy) > maxRequestedByLength {
		return &agentapi.StatusError{
			Status: http.StatusBadRequest,
			Text:   fmt.Sprintf("by: %d bytes, expected at most %d", len(r.RequestedBy), maxRequestedByLength),
		}
	}
	return nil
}

// accept passes a request to the state machine. It saves the command as an intent first, unless the command is known
// already. It must run in the loop.
func (a *Agent) accept(now monotime.Micros, r agentapi.CommandRequest) (*fleet.Command, error) {
	if a.loop.machine.Command(r.ID) == nil {
		if err := a.saveIntent(now, r); err != nil {
			return nil, err
		}
	}
	err := a.decide(now, fleet.CommandReceived{Command: newCommand(now, r)})
	a.loop.unsaved.CompletedIntents = append(a.loop.unsaved.CompletedIntents, r.ID)
	if err != nil {
		return nil, err
	}
	return a.loop.machine.Command(r.ID), nil
}

// newCommand converts a request to a command.
func newCommand(now monotime.Micros, r agentapi.CommandRequest) *fleet.Command {
	return &fleet.Command{
		ID:          r.ID,
		Kind:        r.Kind,
		Names:       r.Instances,
		RequestedBy: r.RequestedBy,
		RequestedAt: r.RequestedUnixMicros,
		Deadline:    now + monotime.Micros(r.TimeoutMicros),
		Immediate:   r.Immediate,
		Rollout:     r.RollingUpdate,
		Quota:       r.Budget,
	}
}

// Steer pauses, resumes or cancels a command.
func (a *Agent) Steer(id, verb, by string) (*fleet.Command, error) {
	var command *fleet.Command
	var rejected error
	err := a.call(func(now monotime.Micros) {
		rejected = a.decide(now, fleet.CommandControl{CommandID: id, Verb: fleet.Verb(verb), RequestedBy: by})
		if rejected == nil {
			command = a.loop.machine.Command(id)
		}
	})
	if err != nil {
		return nil, err
	}
	return command, rejected
}

// Command returns a copy of a command; nil if it is unknown or the loop does not respond in time.
func (a *Agent) Command(id string) *fleet.Command {
	var command *fleet.Command
	err := a.call(func(monotime.Micros) { command = a.loop.machine.Command(id) })
	if err != nil {
		return nil // command may be set, but is not known to be saved
	}
	return command
}

// Commands returns copies of all commands, newest first; nil if the loop does not respond in time.
func (a *Agent) Commands() []*fleet.Command {
	var all []*fleet.Command
	err := a.call(func(monotime.Micros) { all = a.loop.machine.Commands() })
	if err != nil {
		return nil // as in Command
	}
	return all
}

package fleet

import "milletbarrow/monotime"

// HistoryEvent is an entry of the history that the agent stores and shows to operators.
type HistoryEvent struct {
	At        monotime.Micros `json:"at"`
	Name      string          `json:"name,omitempty"`    // of the instance; empty: a command's event
	CommandID string          `json:"command,omitempty"` // empty: the instance was assigned to no command
	Event     string          `json:"event"`             // a phase, an action kind, a verb or a constant below
	Cause     string          `json:"cause,omitempty"`
}

// Events of the history besides phases, action kinds and verbs. Their texts are stored and must not change.
const (
	eventAccepted           = "taken"
	eventPaused             = "pause"
	eventEnded              = "ended"
	eventGivenUp            = "given up"
	eventUnitAcquired       = "unit taken"
	eventUnitDenied         = "waits for a unit"
	eventUnitReleased       = "unit given back"
	eventStandaloneStart    = "starts without the ledger"
	eventResultPrefix       = "result "    // an Outcome follows
	eventLevelPrefix        = "level "     // a degradation level follows
	eventActionFailedSuffix = " not taken" // an ActionKind precedes
)

// Causes of phases, actions and results. Their texts are stored and must not change.
const (
	causeRequested             = "asked for"
	causeResent                = "again"
	causeNotDesiredUp          = "it is not wanted up"
	causeNotInSpec             = "the fleet's file no longer names it"
	causeRebooted              = "the machine was started anew"
	causeDeadlinePassed        = "the command's time is over"
	causeSupervisorGone        = "its keeper is gone"
	causeSupervisorSilent      = "its keeper does not answer"
	causeKillDeadline          = "not gone by the end of its window"
	causeAgentRestarted        = "the agent was started"
	causeRestart               = "to come up again"
	causeRequestedWhileExiting = "asked for while it leaves by itself"
	causeRequestedUnobserved   = "asked for while it can't be seen"
)

// recordEvent adds an event of an instance to the history.
func (m *Machine) recordEvent(now monotime.Micros, inst *Instance, event, cause string) {
	m.history = append(m.history, HistoryEvent{
		At:        now,
		Name:      inst.Name,
		CommandID: inst.CommandID,
		Event:     event,
		Cause:     cause,
	})
}

// recordCommandEvent adds an event of a command to the history.
func (m *Machine) recordCommandEvent(now monotime.Micros, command *Command, event, cause string) {
	m.history = append(m.history, HistoryEvent{
		At:        now,
		CommandID: command.ID,
		Event:     event,
		Cause:     cause,
	})
}

package fleet

import (
	"milletbarrow/monotime"
)

// HistoryEvent is an entry of the history that people read.
type HistoryEvent struct {
	At        monotime.Micros `json:"at"`
	Name      string          `json:"name,omitempty"`
	CommandID string          `json:"command,omitempty"`
	Event     string          `json:"event"`
	Cause     string          `json:"cause,omitempty"`
}

// recordEvent adds an entry about an instance to the history.
func (m *Machine) recordEvent(now monotime.Micros, inst *Instance, event, cause string) {
	m.history = append(m.history, HistoryEvent{At: now, Name: inst.Name, CommandID: inst.CommandID, Event: event, Cause: cause})
}

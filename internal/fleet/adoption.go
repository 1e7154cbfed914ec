package fleet

import (
	"strconv"
	"strings"
)

// Margins that keep the action IDs of an adopted instance from repeating those that were lost with the store.
const (
	adoptedCountMargin  = 1 << 10
	adoptedCountUnknown = 1 << 20 // if the incarnation's ID does not end in a count
)

// AdoptUnrecorded reconstructs the state of an instance that is missing from the store from its supervisor's record.
// It is used after the store was lost while the supervisors' files are intact. The instance is desired up unless it was
// notified. ok is false if no process is known to run.
func AdoptUnrecorded(name string, record SupervisorRecord) (inst Instance, ok bool) {
	if record.State != RecordRead || record.Ended {
		return Instance{}, false
	}
	deadline := record.NotifiedAt
	if record.NoticeID != "" {
		deadline += record.Window.ExitTimeout
	}
	return Instance{
		Name:          name,
		DesiredUp:     record.NoticeID == "",
		ActionCount:   adoptedActionCount(record.Incarnation),
		Incarnation:   record.Incarnation,
		NoticeID:      record.NoticeID,
		NotifiedAt:    record.NotifiedAt,
		Window:        record.Window,
		PhaseDeadline: deadline,
		Phase:         PhaseUnknown,
	}, true
}

// adoptedActionCount returns a count of actions above that of the action that launched an incarnation.
func adoptedActionCount(incarnation string) int {
	count, err := strconv.Atoi(incarnation[strings.LastIndexByte(incarnation, '.')+1:])
	if err != nil {
		return adoptedCountUnknown
	}
	return count + adoptedCountMargin
}

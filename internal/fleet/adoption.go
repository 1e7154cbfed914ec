package fleet

import (
	"strconv"
	"strings"
)

// Margins that keep the ids of an adopted instance's actions above those of the actions that were lost with the store.
const (
	adoptedCountMargin  = 1 << 10
	adoptedCountUnknown = 1 << 20 // where the incarnation's id does not tell its count
)

// AdoptUnrecorded returns the state of an instance that the store does not know, from its supervisor's record: the store
// was lost, the files of the supervisors were not. It is adopted as it is, desired up unless it was notified. ok is false
// where nothing is known to run.
func AdoptUnrecorded(name string, r SupervisorRecord) (inst Instance, ok bool) {
	if r.State != RecordRead || r.Ended {
		return Instance{}, false
	}
	return Instance{
		Name:          name,
		DesiredUp:     r.NoticeID == "",
		ActionCount:   adoptedActionCount(r.Incarnation),
		Incarnation:   r.Incarnation,
		NoticeID:      r.NoticeID,
		NotifiedAt:    r.NotifiedAt,
		PhaseDeadline: r.NotifiedAt,
		Phase:         PhaseUnknown,
	}, true
}

// adoptedActionCount continues the count of actions after the one that launched an incarnation.
func adoptedActionCount(incarnation string) int {
	n, err := strconv.Atoi(incarnation[strings.LastIndexByte(incarnation, '.')+1:])
	if err != nil {
		return adoptedCountUnknown
	}
	return n + adoptedCountMargin
}

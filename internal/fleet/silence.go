package fleet

import "milletbarrow/monotime"

// maxMissedPolls is the number of missed polls in a row from which a supervisor's silence counts. A supervisor that is
// starting or ending answers none.
const maxMissedPolls = 8

// RecordState tells whether an agent could read the record of a supervisor.
type RecordState int

// The states of a supervisor's record.
const (
	RecordMissing    RecordState = iota // no supervisor ever wrote one
	RecordUnreadable                    // it exists and can't be read
	RecordRead                          // the other fields of SupervisorRecord hold its content
)

// SupervisorRecord is a supervisor's record of the last incarnation that it supervised.
type SupervisorRecord struct {
	State           RecordState
	Cause           string          // RecordUnreadable: the error
	Incarnation     string          // the incarnation recorded
	Ended           bool            // the incarnation is over
	Exit            Exit            // Ended: of the incarnation
	NoticeID        string          // the shutdown notice that the supervisor has taken; empty: none
	NotifiedAt      monotime.Micros // when it took NoticeID
	SupervisorAlive bool            // the process that wrote the record runs
	InstanceAlive   bool            // the process of the instance runs
}

// SupervisorSilence is the knowledge about an incarnation whose supervisor does not answer.
type SupervisorSilence struct {
	Incarnation string // the incarnation polled
	MissedPolls int    // in a row
	Record      SupervisorRecord
}

// SilenceVerdict is the meaning of a supervisor's silence.
type SilenceVerdict struct {
	Decided     bool        // false: it is too early to say, Observation is empty
	Observation Observation // of the incarnation polled
	// Recorded is false if no supervisor ever recorded the incarnation. While its launch is pending, that does not
	// prove that it has ended.
	Recorded bool
}

// Ended reports whether the verdict is final: the incarnation was there and is over.
func (v SilenceVerdict) Ended() bool {
	return v.Decided && v.Recorded && v.Observation.Phase == PhaseExited
}

// Interpret returns the meaning of a supervisor's silence. It is a pure function of what the agent found. A recorded
// end counts at once; any other verdict takes maxMissedPolls missed polls in a row. An incarnation whose record can't
// be read, or whose supervisor runs without answering, is PhaseUnknown, which is not PhaseExited.
func (s SupervisorSilence) Interpret() SilenceVerdict {
	recorded := s.Record.State == RecordRead && s.Record.Incarnation == s.Incarnation
	if recorded && s.Record.Ended {
		return s.verdict(Observation{Phase: PhaseExited, Exit: s.Record.Exit, NoticeID: s.Record.NoticeID})
	}
	if s.MissedPolls < maxMissedPolls {
		return SilenceVerdict{Recorded: true}
	}
	if s.Record.State == RecordUnreadable {
		return s.verdict(Observation{Phase: PhaseUnknown, Cause: s.Record.Cause})
	}
	if !recorded {
		unrecorded := s.verdict(Observation{Phase: PhaseExited, Exit: Exit{Unobserved: true}})
		unrecorded.Recorded = false
		return unrecorded
	}
	observation := Observation{NoticeID: s.Record.NoticeID}
	switch {
	case s.Record.SupervisorAlive:
		observation.Phase = PhaseUnknown
		observation.Cause = causeSupervisorMute
	case s.Record.InstanceAlive:
		observation.Phase = PhaseUnknown
		observation.Cause = causeSupervisorGone
		observation.Orphaned = true
	default:
		observation.Phase = PhaseExited
		observation.Exit = Exit{Unobserved: true}
	}
	return s.verdict(observation)
}

// verdict returns a decided verdict about the incarnation that was polled.
func (s SupervisorSilence) verdict(observation Observation) SilenceVerdict {
	observation.Incarnation = s.Incarnation
	return SilenceVerdict{Decided: true, Observation: observation, Recorded: true}
}

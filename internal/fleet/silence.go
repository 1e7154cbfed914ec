package fleet

import "milletbarrow/monotime"

// maxMissedPolls is the number of consecutive missed polls from which a supervisor counts as silent. A supervisor that
// is starting or exiting answers no poll, so a few missed ones mean nothing.
const maxMissedPolls = 8

// RecordState is the result of reading the record of a supervisor.
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
	Ended           bool            // the incarnation has ended
	Exit            Exit            // Ended: of the incarnation
	NoticeID        string          // the shutdown notice that the supervisor has accepted; empty: none
	NotifiedAt      monotime.Micros // when the supervisor accepted NoticeID
	Window          ShutdownWindow  // that the instance runs with; zero: not known
	SupervisorAlive bool            // the supervisor process that wrote the record runs
	InstanceAlive   bool            // the process of the instance runs
}

// SupervisorSilence is what the agent knows about an incarnation whose supervisor does not answer.
type SupervisorSilence struct {
	Incarnation string // the incarnation polled
	MissedPolls int    // consecutive
	Record      SupervisorRecord
}

// SilenceVerdict is the conclusion drawn from a supervisor's silence.
type SilenceVerdict struct {
	Decided     bool        // false: it is too early for a conclusion, and Observation is empty
	Observation Observation // of the incarnation polled
	// Recorded is false if no supervisor ever recorded the incarnation. While its launch is pending, that does not
	// prove that it has ended.
	Recorded bool
}

// Ended reports whether the verdict is final: the incarnation was recorded and has ended.
func (v SilenceVerdict) Ended() bool {
	return v.Decided && v.Recorded && v.Observation.Phase == PhaseExited
}

// Interpret returns the conclusion from a supervisor's silence. A recorded exit counts at once; any other verdict takes
// maxMissedPolls consecutive missed polls. An incarnation whose record can't be read, or whose supervisor runs without
// answering, is PhaseUnknown and not PhaseExited: its process may still run.
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
		observation.Cause = causeSupervisorSilent
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

// verdict returns a decided verdict on the incarnation that was polled.
func (s SupervisorSilence) verdict(observation Observation) SilenceVerdict {
	observation.Incarnation = s.Incarnation
	return SilenceVerdict{Decided: true, Observation: observation, Recorded: true}
}

package fleet

import (
	"milletbarrow/monotime"
)

// silencePatience is how many polls in a row a supervisor may leave unanswered before its silence counts: one that is
// just starting or ending answers none.
const silencePatience = 8

// RecordState says what an agent found where a supervisor writes its record.
type RecordState int

// The states of a supervisor's record.
const (
	RecordMissing    RecordState = iota // no supervisor ever wrote one
	RecordUnreadable                    // it is there and can't be read
	RecordRead                          // the fields of SupervisorRecord hold what it says
)

// SupervisorRecord is what the record of a supervisor says about the last incarnation that it supervised.
type SupervisorRecord struct {
	State           RecordState
	Cause           string          // RecordUnreadable: why
	Incarnation     string          // that it is about
	Ended           bool            // the incarnation is over
	Exit            Exit            // Ended: how
	NoticeID        string          // the shutdown notice that the supervisor has taken; empty: none
	NotifiedAt      monotime.Micros // when it took NoticeID
	SupervisorAlive bool            // the process that wrote it runs
	InstanceAlive   bool            // the process of the instance runs
}

// SupervisorSilence is what is known about an incarnation whose supervisor does not answer.
type SupervisorSilence struct {
	Incarnation string // that was asked about
	MissedPolls int    // in a row
	Record      SupervisorRecord
}

// SilenceVerdict is what a supervisor's silence means.
type SilenceVerdict struct {
	Decided     bool        // false: it is too early to say, Observation holds nothing
	Observation Observation // of the incarnation that was asked about
	// Recorded is false where no supervisor ever wrote about the incarnation. That proves no end while the launch
	// of the incarnation is still under way.
	Recorded bool
}

// Ended reports whether the verdict is final: the incarnation was there and is over.
func (v SilenceVerdict) Ended() bool {
	return v.Decided && v.Recorded && v.Observation.Phase == PhaseExited
}

// Interpret says what a supervisor's silence means. It is a pure function of what the agent found. A recorded end
// counts at once; everything else has to be seen silencePatience times in a row. What can't be read or does not
// answer is PhaseUnknown, which is not PhaseExited.
func (s SupervisorSilence) Interpret() SilenceVerdict {
	recorded := s.Record.State == RecordRead && s.Record.Incarnation == s.Incarnation
	if recorded && s.Record.Ended {
		return SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
			Incarnation: s.Incarnation, Phase: PhaseExited, Exit: s.Record.Exit, NoticeID: s.Record.NoticeID,
		}}
	}
	if s.MissedPolls < silencePatience {
		return SilenceVerdict{Recorded: true}
	}
	if s.Record.State == RecordUnreadable {
		return SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
			Incarnation: s.Incarnation, Phase: PhaseUnknown, Cause: s.Record.Cause,
		}}
	}
	if !recorded {
		return SilenceVerdict{Decided: true, Observation: Observation{Incarnation: s.Incarnation, Phase: PhaseExited, Exit: Exit{Unobserved: true}}}
	}
	observation := Observation{Incarnation: s.Incarnation, NoticeID: s.Record.NoticeID}
	switch {
	case s.Record.SupervisorAlive:
		observation.Phase, observation.Cause = PhaseUnknown, "its keeper does not answer"
	case s.Record.InstanceAlive:
		observation.Phase, observation.Cause, observation.Orphaned = PhaseUnknown, "its keeper is gone", true
	default:
		observation.Phase, observation.Exit = PhaseExited, Exit{Unobserved: true}
	}
	return SilenceVerdict{Decided: true, Recorded: true, Observation: observation}
}

package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// testRecord returns a record of incarnation a.1 that was read, changed by change.
func testRecord(change func(*SupervisorRecord)) SupervisorRecord {
	record := SupervisorRecord{State: RecordRead, Incarnation: "a.1", NoticeID: "a.2"}
	change(&record)
	return record
}

// Verdicts on incarnation a.1.
var (
	recordedExit      = Exit{Code: 3, Uptime: 7}
	afterRecordedExit = SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
		Incarnation: "a.1", Phase: PhaseExited, Exit: recordedExit, NoticeID: "a.2",
	}}
	afterUnrecordedExit = SilenceVerdict{Decided: true, Observation: Observation{
		Incarnation: "a.1", Phase: PhaseExited, Exit: Exit{Unobserved: true},
	}}
	undecided = SilenceVerdict{Recorded: true}
)

// silenceCases are the verdicts on incarnation a.1 by the content of its supervisor's record.
var silenceCases = []struct {
	name   string
	missed int
	record SupervisorRecord
	want   SilenceVerdict
}{
	{
		name:   "recorded end, first miss",
		missed: 1,
		record: testRecord(func(r *SupervisorRecord) { r.Ended, r.Exit = true, recordedExit }),
		want:   afterRecordedExit,
	},
	{
		name:   "recorded end, processes run",
		missed: 9,
		record: testRecord(func(r *SupervisorRecord) {
			r.Ended, r.Exit = true, recordedExit
			r.SupervisorAlive, r.InstanceAlive = true, true
		}),
		want: afterRecordedExit,
	},
	{
		name:   "end of an earlier incarnation, too early",
		missed: maxMissedPolls - 1,
		record: testRecord(func(r *SupervisorRecord) { r.Incarnation, r.Ended = "a.0", true }),
		want:   undecided,
	},
	{
		name:   "no record, too early",
		missed: maxMissedPolls - 1,
		want:   undecided,
	},
	{
		name:   "dead supervisor, too early",
		missed: maxMissedPolls - 1,
		record: testRecord(func(r *SupervisorRecord) { r.InstanceAlive = true }),
		want:   undecided,
	},
	{
		name:   "no record",
		missed: maxMissedPolls,
		want:   afterUnrecordedExit,
	},
	{
		name:   "record of an earlier incarnation",
		missed: maxMissedPolls,
		record: testRecord(func(r *SupervisorRecord) {
			r.Incarnation = "a.0"
			r.Ended = true
			r.SupervisorAlive = true
		}),
		want: afterUnrecordedExit,
	},
	{
		name:   "unreadable record",
		missed: maxMissedPolls,
		record: SupervisorRecord{State: RecordUnreadable, Cause: "permission denied"},
		want: SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
			Incarnation: "a.1", Phase: PhaseUnknown, Cause: "permission denied",
		}},
	},
	{
		name:   "hanging supervisor",
		missed: maxMissedPolls,
		record: testRecord(func(r *SupervisorRecord) { r.SupervisorAlive, r.InstanceAlive = true, true }),
		want: SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
			Incarnation: "a.1", Phase: PhaseUnknown, Cause: "its keeper does not answer", NoticeID: "a.2",
		}},
	},
	{
		name:   "dead supervisor",
		missed: maxMissedPolls,
		record: testRecord(func(r *SupervisorRecord) { r.InstanceAlive = true }),
		want: SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
			Incarnation: "a.1", Phase: PhaseUnknown, Cause: "its keeper is gone", Orphaned: true, NoticeID: "a.2",
		}},
	},
	{
		name:   "dead supervisor and instance",
		missed: maxMissedPolls,
		record: testRecord(func(*SupervisorRecord) {}),
		want: SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{
			Incarnation: "a.1", Phase: PhaseExited, Exit: Exit{Unobserved: true}, NoticeID: "a.2",
		}},
	},
}

// TestSilenceVerdictFollowsTheRecord checks the verdict on incarnation a.1 for each content of its supervisor's record.
func TestSilenceVerdictFollowsTheRecord(t *testing.T) {
	for _, test := range silenceCases {
		t.Run(test.name, func(t *testing.T) {
			silence := SupervisorSilence{Incarnation: "a.1", MissedPolls: test.missed, Record: test.record}
			if diff := cmp.Diff(test.want, silence.Interpret()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSilenceNeverEndsLiveInstance checks that no verdict is final while a process of the incarnation runs, unless its
// supervisor recorded the exit, and that every verdict is about the incarnation polled.
func TestSilenceNeverEndsLiveInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		states := []RecordState{RecordMissing, RecordUnreadable, RecordRead}
		silence := SupervisorSilence{
			Incarnation: "a.1",
			MissedPolls: rapid.IntRange(1, 3*maxMissedPolls).Draw(t, "missed"),
			Record: SupervisorRecord{
				State:           rapid.SampledFrom(states).Draw(t, "state"),
				Incarnation:     rapid.SampledFrom([]string{"a.0", "a.1"}).Draw(t, "incarnation"),
				Ended:           flag("ended"),
				SupervisorAlive: flag("supervisor"),
				InstanceAlive:   flag("instance"),
			},
		}
		verdict := silence.Interpret()
		recorded := silence.Record.State == RecordRead && silence.Record.Incarnation == silence.Incarnation
		alive := recorded && (silence.Record.SupervisorAlive || silence.Record.InstanceAlive)
		if verdict.Ended() && (!recorded || alive && !silence.Record.Ended) {
			t.Fatalf("%+v is final: %+v", silence, verdict)
		}
		if verdict.Decided != (verdict.Observation.Incarnation == silence.Incarnation) {
			t.Fatalf("%+v gives a verdict about another incarnation: %+v", silence, verdict)
		}
		if !verdict.Decided && silence.MissedPolls >= maxMissedPolls {
			t.Fatalf("%+v is never decided", silence)
		}
	})
}

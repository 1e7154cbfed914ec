package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestSupervisorSilence(t *testing.T) {
	end := Exit{Code: 3, Uptime: 7}
	record := func(change func(*SupervisorRecord)) SupervisorRecord {
		r := SupervisorRecord{State: RecordRead, Incarnation: "a.1", NoticeID: "a.2"}
		change(&r)
		return r
	}
	unseen := Observation{Incarnation: "a.1", Phase: PhaseExited, Exit: Exit{Unobserved: true}}
	for _, c := range []struct {
		name   string
		missed int
		record SupervisorRecord
		want   SilenceVerdict
	}{
		{"a recorded end counts at the first miss", 1,
			record(func(r *SupervisorRecord) { r.Ended, r.Exit = true, end }),
			SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{Incarnation: "a.1", Phase: PhaseExited, Exit: end, NoticeID: "a.2"}}},
		{"a recorded end counts although the processes run", 9,
			record(func(r *SupervisorRecord) { r.Ended, r.Exit, r.SupervisorAlive, r.InstanceAlive = true, end, true, true }),
			SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{Incarnation: "a.1", Phase: PhaseExited, Exit: end, NoticeID: "a.2"}}},
		{"the end of an earlier incarnation is none of this one", maxMissedPolls - 1,
			record(func(r *SupervisorRecord) { r.Incarnation, r.Ended = "a.0", true }),
			SilenceVerdict{Recorded: true}},
		{"no record, too early", maxMissedPolls - 1, SupervisorRecord{}, SilenceVerdict{Recorded: true}},
		{"a dead supervisor, too early", maxMissedPolls - 1,
			record(func(r *SupervisorRecord) { r.InstanceAlive = true }), SilenceVerdict{Recorded: true}},
		{"no record", maxMissedPolls, SupervisorRecord{}, SilenceVerdict{Decided: true, Observation: unseen}},
		{"the record of an earlier incarnation", maxMissedPolls,
			record(func(r *SupervisorRecord) { r.Incarnation, r.Ended, r.SupervisorAlive = "a.0", true, true }),
			SilenceVerdict{Decided: true, Observation: unseen}},
		{"an unreadable record proves nothing", maxMissedPolls,
			SupervisorRecord{State: RecordUnreadable, Cause: "permission denied"},
			SilenceVerdict{Decided: true, Recorded: true, Observation: Observation{Incarnation: "a.1", Phase: PhaseUnknown, Cause: "permission denied"}}},
		{"a supervisor that hangs", maxMissedPolls,
			record(func(r *SupervisorRecord) { r.SupervisorAlive, r.InstanceAlive = true, true }),
			SilenceVerdict{Decided: true, Recorded: true,
				Observation: Observation{Incarnation: "a.1", Phase: PhaseUnknown, Cause: "its keeper does not answer", NoticeID: "a.2"}}},
		{"a supervisor that died", maxMissedPolls,
			record(func(r *SupervisorRecord) { r.InstanceAlive = true }),
			SilenceVerdict{Decided: true, Recorded: true,
				Observation: Observation{Incarnation: "a.1", Phase: PhaseUnknown, Cause: "its keeper is gone", Orphaned: true, NoticeID: "a.2"}}},
		{"both died", maxMissedPolls, record(func(*SupervisorRecord) {}),
			SilenceVerdict{Decided: true, Recorded: true,
				Observation: Observation{Incarnation: "a.1", Phase: PhaseExited, Exit: Exit{Unobserved: true}, NoticeID: "a.2"}}},
	} {
		got := SupervisorSilence{Incarnation: "a.1", MissedPolls: c.missed, Record: c.record}.Interpret()
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// TestSilenceNeverEndsLiveInstance: no verdict is final while a process of the incarnation runs, unless its
// supervisor wrote the end down; and every verdict is about the incarnation that was asked about.
func TestSilenceNeverEndsLiveInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		s := SupervisorSilence{
			Incarnation: "a.1", MissedPolls: rapid.IntRange(1, 3*maxMissedPolls).Draw(t, "missed"),
			Record: SupervisorRecord{
				State:       rapid.SampledFrom([]RecordState{RecordMissing, RecordUnreadable, RecordRead}).Draw(t, "state"),
				Incarnation: rapid.SampledFrom([]string{"a.0", "a.1"}).Draw(t, "run"),
				Ended:       flag("ended"), SupervisorAlive: flag("supervisor"), InstanceAlive: flag("instance"),
			},
		}
		v := s.Interpret()
		recorded := s.Record.State == RecordRead && s.Record.Incarnation == s.Incarnation
		alive := recorded && (s.Record.SupervisorAlive || s.Record.InstanceAlive)
		if v.Ended() && (!recorded || alive && !s.Record.Ended) {
			t.Fatalf("%+v ends by %+v", s, v)
		}
		if v.Decided != (v.Observation.Incarnation == s.Incarnation) {
			t.Fatalf("%+v: %+v", s, v)
		}
		if !v.Decided && s.MissedPolls >= maxMissedPolls {
			t.Fatalf("%+v is never decided", s)
		}
	})
}

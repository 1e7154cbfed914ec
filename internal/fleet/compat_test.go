package fleet

import (
	"encoding/json"
	"strings"
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Observation](t, "Sight.json")
	compattest.RoundTrip[Instance](t, "Instance.json")
	compattest.RoundTrip[Action](t, "Step.json")
	compattest.RoundTrip[HistoryEvent](t, "Note.json")
	compattest.RoundTrip[Command](t, "Command.json")
	compattest.RoundTrip[PlanStep](t, "PlanStep.json")
	compattest.RoundTrip[Spec](t, "Spec.json")
}

// TestDetailIsPassedOn: what a supervisor of another release adds to an observation is passed on as it came.
func TestDetailIsPassedOn(t *testing.T) {
	for text, want := range map[string]string{
		`{"detail":{"a":[1,"x"]}}`: `"detail":{"a":[1,"x"]}`, `{"detail":"x"}`: `"detail":"x"`, `{"detail":0}`: `"detail":0`, `{"detail":null}`: "", `{}`: "",
	} {
		var o Observation
		if err := json.Unmarshal([]byte(text), &o); err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(o)
		if err != nil || !strings.Contains(string(raw), want) || want == "" && strings.Contains(string(raw), "detail") {
			t.Errorf("%s became %s (%v)", text, raw, err)
		}
	}
}

// TestStoredForm: the bytes that an agent stores of an instance and of a command are read and written as ever.
func TestStoredForm(t *testing.T) {
	for _, c := range []struct {
		text string
		into any
	}{
		{`{"name":"a","group":"g","spare":true,"up":true,"recycle":true,"task":"c","serial":3,"step":"a.3","doing":"tell","pending":true,` +
			`"run":"a.1","told":"a.3","told_at":5,"deadline":6,"gave_up":"w","spent":true,"free":true,"kills":2,` +
			`"last":{"code":1,"signal":"killed","killed":"deaf","unseen":true,"lived":7,"after":8},` +
			`"budget":{"Most":3,"Within":60,"Spent":[1,2]},"unit":{"budget":"q","turn":"c.a.1","for":"c","held":true,"next":9,"why":"full","alone":true,"began":10},` +
			`"turns":4,"tries":5,"next":11,"phase":"deaf","since":12,"cause":"x","steady":13,"picked":14,"turned":15,"level":"full"}`, &Instance{}},
		{`{"id":"c","kind":"wave","names":["a"],"by":"me","asked_unix_us":1,"due":2,"now":true,` +
			`"terms":{"width":1,"least_count":2,"least_share":0.5,"order":"file","surge":1,"failures":3,"ready_within":4,"stall":5,"turned_away":0.25,"turned_for":6},` +
			`"budget":"q","number":7,"state":"open","cause":"z","begun":8,"finished":9,"results":{"a":{"outcome":"done","cause":"k","at":10}},` +
			`"failed":1,"spares":["x"],"stage":"rolling","out":{"a":true},"stuck":11,"turned":12}`, &Command{}},
		{`{"run":"a.1","phase":"unknown","told":"a.3","cause":"c","orphan":true,"end":{"code":0},"picked":1,"turned":2,"level":"full","why":"w"}`, &Observation{}},
		{`{"at":1,"name":"a","command":"c","event":"taken","cause":"w"}`, &HistoryEvent{}},
	} {
		if err := json.Unmarshal([]byte(c.text), c.into); err != nil {
			t.Fatal(err)
		}
		if raw, err := json.Marshal(c.into); err != nil || string(raw) != c.text {
			t.Errorf("%T: wanted\n%s and found\n%s (%v)", c.into, c.text, raw, err)
		}
	}
}

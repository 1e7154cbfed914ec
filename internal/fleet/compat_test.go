package fleet

import (
	"encoding/json"
	"strings"
	"testing"

	"milletbarrow/internal/compattest"
)

// TestEarlierFormats checks that JSON from an earlier release, with each field set, survives a round trip unchanged.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Observation](t, "Sight.json")
	compattest.RoundTrip[Instance](t, "Instance.json")
	compattest.RoundTrip[Action](t, "Step.json")
	compattest.RoundTrip[HistoryEvent](t, "Note.json")
	compattest.RoundTrip[Command](t, "Command.json")
	compattest.RoundTrip[PlanStep](t, "PlanStep.json")
	compattest.RoundTrip[Spec](t, "Spec.json")
}

// TestDetailIsPassedOn checks that the detail of an observation from a supervisor of another release is passed on
// unchanged.
func TestDetailIsPassedOn(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string // empty: no detail is written
	}{
		{"object", `{"detail":{"a":[1,"x"]}}`, `"detail":{"a":[1,"x"]}`},
		{"string", `{"detail":"x"}`, `"detail":"x"`},
		{"number", `{"detail":0}`, `"detail":0`},
		{"null", `{"detail":null}`, ""},
		{"none", `{}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var observation Observation
			if err := json.Unmarshal([]byte(test.text), &observation); err != nil {
				t.Fatal(err)
			}
			raw, err := json.Marshal(observation)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(raw), test.want) || test.want == "" && strings.Contains(string(raw), "detail") {
				t.Errorf("%s was written as %s", test.text, raw)
			}
		})
	}
}

const storedInstance = `{"name":"a","group":"g","spare":true,"up":true,"recycle":true,"task":"c","serial":3,` +
	`"step":"a.3","doing":"tell","pending":true,"run":"a.1","told":"a.3","told_at":5,"deadline":6,"gave_up":"w",` +
	`"spent":true,"free":true,"kills":2,` +
	`"last":{"code":1,"signal":"killed","killed":"deaf","unseen":true,"lived":7,"after":8},` +
	`"budget":{"Most":3,"Within":60,"Spent":[1,2]},` +
	`"unit":{"budget":"q","turn":"c.a.1","for":"c","held":true,"next":9,"why":"full","alone":true,"began":10},` +
	`"turns":4,"tries":5,"next":11,"phase":"deaf","since":12,"cause":"x","steady":13,"picked":14,"turned":15,` +
	`"level":"full"}`

const storedCommand = `{"id":"c","kind":"wave","names":["a"],"by":"me","asked_unix_us":1,"due":2,"now":true,` +
	`"terms":{"width":1,"least_count":2,"least_share":0.5,"order":"file","surge":1,"failures":3,"ready_within":4,` +
	`"stall":5,"turned_away":0.25,"turned_for":6},` +
	`"budget":"q","number":7,"state":"open","cause":"z","begun":8,"finished":9,` +
	`"results":{"a":{"outcome":"done","cause":"k","at":10}},` +
	`"failed":1,"spares":["x"],"stage":"rolling","out":{"a":true},"stuck":11,"turned":12}`

const storedObservation = `{"run":"a.1","phase":"unknown","told":"a.3","cause":"c","orphan":true,"end":{"code":0},` +
	`"picked":1,"turned":2,"level":"full","why":"w"}`

const storedHistoryEvent = `{"at":1,"name":"a","command":"c","event":"taken","cause":"w"}`

// TestStoredFormIsReadAndWrittenTheSame checks that the bytes that an agent stores survive a round trip unchanged.
func TestStoredFormIsReadAndWrittenTheSame(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		into any
	}{
		{"instance", storedInstance, &Instance{}},
		{"command", storedCommand, &Command{}},
		{"observation", storedObservation, &Observation{}},
		{"history event", storedHistoryEvent, &HistoryEvent{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := json.Unmarshal([]byte(test.text), test.into); err != nil {
				t.Fatal(err)
			}
			if raw, err := json.Marshal(test.into); err != nil || string(raw) != test.text {
				t.Errorf("written as\n%s (%v), want\n%s", raw, err, test.text)
			}
		})
	}
}

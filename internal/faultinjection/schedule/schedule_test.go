package schedule

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestDrawnIsReadAgain(t *testing.T) {
	for seed := range uint64(50) {
		drawn := Random(seed, 5, 20, 24, 40*time.Second)
		read, err := Read("t.sx", []byte(drawn.String()))
		if err != nil {
			t.Fatalf("seed %d: %v\n%v", seed, err, drawn)
		}
		if !reflect.DeepEqual(drawn, read) {
			t.Fatalf("seed %d: written\n%vread\n%v", seed, drawn, read)
		}
		kinds := map[Kind]bool{}
		for _, f := range drawn.Faults {
			kinds[f.Kind] = true
		}
		if len(kinds) != len(Kinds()) {
			t.Fatalf("seed %d has %d kinds of %d", seed, len(kinds), len(Kinds()))
		}
	}
}

func TestRefused(t *testing.T) {
	for text, wanted := range map[string]string{
		"(trial a (cut (at 1s) (on h1)))":           "t.sx:1:23: trial.cut.on: found 1 of them, wanted 2: host, host",
		"(trial a (kill (at 1s) (on h9)))":          `"h9" is no host from h1 to h5`,
		"(trial a (death (at 1s) (on h1)))":         `"h1" is no backend from n1 to n20`,
		"(trial a (backends 0))":                    `found "0", wanted a whole number from 1 to 400`,
		"(trial a (quake (at 1s)))":                 "no such field",
		"(trial a (leader (at 1s) (on h1)))":        "found 1 of them, wanted 0",
		"(trial a (stall (at 2h) (on h1) (on h2)))": "wanted a time from 0s to 1h0m0s",
		"(fleet a)": "wanted one list that begins with trial",
		"(trial a (point (at 1s) (on h1) (for 1s)))": "wanted 2: host, word",
	} {
		if _, err := Read("t.sx", []byte(text)); err == nil || !strings.Contains(err.Error(), wanted) {
			t.Errorf("%s: %v, wanted %q", text, err, wanted)
		}
	}
}

func TestSmaller(t *testing.T) {
	table := Random(1, 5, 20, 24, time.Minute)
	all := table.Smaller()
	if n := len(all[0].Faults); n != 12 {
		t.Errorf("the first has %d faults of 24", n)
	}
	if n := len(all[len(all)-1].Faults); n != 23 || len(all) < 24 {
		t.Errorf("the last of %d has %d faults of 24", len(all), n)
	}
	if (&Schedule{Faults: table.Faults[:1]}).Smaller()[0].Faults == nil && len((&Schedule{Faults: table.Faults[:1]}).Smaller()) != 1 {
		t.Error("one fault alone can be taken out once")
	}
}

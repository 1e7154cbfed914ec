package executor

import (
	"errors"
	"testing"

	"milletbarrow/internal/fakes"
)

// Each kind of line is parsed into its fields or rejected, and commands are formatted.
func TestLinesAreParsedOrRejected(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, line := range []string{
		"greeting chilly 120",
		"greeting hot 3600000",
		"greeting warm 1",
		"greeting hot",
		"greeting hot -1",
		"greeting hot 1 2",
		"outcome 7 9b1f03aa5c7e2d41 complete 18.5 4096",
		"outcome 8 9b1f03aa5c7e2d41 error 3 0",
		"outcome 9 9b1f03aa5c7e2d41 cancelled 3 0",
		"outcome 10 9b1f03aa5c7e2d41 unknown 0 0",
		"outcome 0 a error 3 0",
		"outcome x a error 3 0",
		"outcome 11 a unsupported 3 0",
		"outcome 12 a error 3 -1",
		"outcome 13 a error x 0",
		"outcome 14 a error 3",
		"sampled t5 0.62 3 0.41 120",
		"sampled t5 0.62 three",
		"sampled t5 NaN",
		"sampled",
		"refusal launch 9b1f03aa5c7e2d41",
		"refusal launch",
		"aside 15 free text",
		"aside nothing",
		"",
		"unsupported 1",
		"greeting hot 1\r",
		"outcome  7 a error 3 0",
	} {
		m, err := parse([]byte(line), nil)
		tr.Say("%-48q kind %d number %d id %q command %q cold %t elapsed %d end %d length %d tag %q gauges %v error %v",
			line, m.kind, m.number, m.id, m.command, m.cold, m.elapsed, m.end, m.length, m.tag, m.gauges, err)
	}
	tr.Say("%q", appendLaunch(nil, "9b1f03aa5c7e2d41", "look", []byte("a\r\nb")))
	tr.Say("%q %q", appendSubscribe(nil, 12), appendSample(nil, 3))
}

// A line is rejected, or its numbers are in range and an outcome has a number and an ID.
func FuzzParseLine(f *testing.F) {
	f.Add([]byte("outcome 7 9b1f03aa5c7e2d41 complete 18.5 40"))
	f.Add([]byte("sampled t5 0.62 3 0.41 120"))
	f.Fuzz(func(t *testing.T, line []byte) {
		m, err := parse(line, nil)
		if err == nil && (m.length < 0 || m.elapsed < 0 || m.kind == outcome && (m.number == 0 || len(m.id) == 0)) {
			t.Fatalf("%q parsed as %+v", line, m)
		}
	})
}

// The error of a line that cannot be parsed is one of the package's, or a *valueError with the word.
func TestParseErrorsAreTyped(t *testing.T) {
	for _, test := range []struct {
		name string
		line string
		want error
	}{
		{"word too many", "greeting hot 1 2", errExtraWords},
		{"control character", "greeting hot 1\r", errControlCharacter},
		{"number of a notice", "outcome x a error 3 0", errNoNoticeNumber},
		{"length of a result", "outcome 12 a error 3 -1", errNoLength},
		{"gauge", "sampled t5 NaN", errGaugeNotNumber},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := parse([]byte(test.line), nil); !errors.Is(err, test.want) {
				t.Errorf("%q: %v, want %v", test.line, err, test.want)
			}
		})
	}
	for _, test := range []struct {
		name string
		line string
		want valueError
	}{
		{"first word", "unsupported 1", valueError{"first word", "unsupported"}},
		{"state", "greeting warm 1", valueError{"greeting: state", "warm"}},
		{"end", "outcome 11 a unsupported 3 0", valueError{"outcome: end", "unsupported"}},
		{"time", "outcome 13 a error x 0", valueError{"time in milliseconds", "x"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			line := []byte(test.line)
			_, err := parse(line, nil)
			clear(line) // the error must not refer to the buffer, which is reused
			if value := new(valueError); !errors.As(err, &value) || *value != test.want {
				t.Errorf("%q: %v, want %v", test.line, err, &test.want)
			}
		})
	}
}

package executor

import (
	"errors"
	"testing"
)

// TestErrorsAreTyped: what is wrong with a line can be told without its text.
func TestErrorsAreTyped(t *testing.T) {
	for line, want := range map[string]error{
		"greeting hot 1 2": errWordCount, "greeting hot 1\r": errControlCharacter, "outcome x a error 3 0": errNoNoticeNumber,
		"outcome 12 a error 3 -1": errNoLength, "sampled t5 NaN": errGaugeNotNumber,
	} {
		if _, err := parse([]byte(line), nil); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", line, err, want)
		}
	}
	for line, want := range map[string]valueError{
		"shout 1": {"unknown word", "shout"}, "greeting warm 1": {"greeting: state", "warm"},
		"outcome 11 a melted 3 0": {"outcome: end", "melted"}, "outcome 13 a error x 0": {"not a time:", "x"},
	} {
		text := []byte(line)
		_, err := parse(text, nil)
		clear(text) // the error outlives the buffer that the line was read into
		if value := new(valueError); !errors.As(err, &value) || *value != want {
			t.Errorf("%q: %v, want %v", line, err, &want)
		}
	}
}

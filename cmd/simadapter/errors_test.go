package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"milletbarrow/internal/simwire"
)

// TestServeErrorsAreTyped checks that an error holds the line of the input and its cause.
func TestServeErrorsAreTyped(t *testing.T) {
	var (
		line       *lineError
		truncated  *truncatedBatchError
		unexpected *unexpectedMessageError
		notOpen    *notOpenError
		message    *simwire.MessageError
	)
	for _, c := range []struct {
		in      string
		line    int
		matches func(err error) bool
	}{
		{sync + open, 3, func(err error) bool { return errors.As(err, &truncated) && truncated.round == 1 }},
		{sync + sync, 2, func(err error) bool { return errors.As(err, &unexpected) && unexpected.message == "Sync" }},
		{sync + `{"Detach":{"i":3}}`, 2, func(err error) bool { return errors.As(err, &notOpen) && notOpen.instance == 3 }},
		{sync + `{"Launched":{"i":3}}`, 2, func(err error) bool {
			return errors.As(err, &message) && message.Message == "Launched"
		}},
	} {
		err := serve(strings.NewReader(c.in), &bytes.Buffer{})
		if !errors.As(err, &line) || line.line != c.line || !c.matches(err) {
			t.Errorf("%q: unexpected error %#v", c.in, err)
		}
	}
}

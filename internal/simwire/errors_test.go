package simwire

import (
	"bytes"
	"errors"
	"testing"
)

// TestErrorTypes: callers can tell what is wrong with a line, and in which message and field.
func TestErrorTypes(t *testing.T) {
	var (
		message *MessageError
		missing *MissingFieldError
		outcome *UnknownOutcomeError
		syntax  *SyntaxError
		names   *NameCountError
	)
	for _, c := range []struct {
		line    string
		matches func(err error) bool
	}{
		{`nonsense`, func(err error) bool { return errors.As(err, &syntax) }},
		{`{"A":{},"B":{}}`, func(err error) bool { return errors.As(err, &names) && names.Names == 2 }},
		{`{"Alarm":[]}`, func(err error) bool {
			return errors.As(err, &message) && message.Message == "Alarm" && errors.Is(err, ErrNotObject)
		}},
		{`{"Launched":{"i":3}}`, func(err error) bool { return errors.As(err, &message) && errors.Is(err, ErrUnknownMessage) }},
		{`{"Sync":{}}`, func(err error) bool { return errors.As(err, &missing) && missing.Field == "at_time_ms or round" }},
		{`{"Done":{"req":"0f"}}`, func(err error) bool { return errors.As(err, &missing) && missing.Field == "i" }},
		{`{"OpenInstance":{"i":3}}`, func(err error) bool { return errors.As(err, &missing) && missing.Field == "init_seed or settings" }},
		{`{"Alarm":{"i":3}}`, func(err error) bool { return errors.As(err, &missing) && missing.Field == "token or feedback" }},
		{`{"Req":{"i":3,"req":"0f"}}`, func(err error) bool { return errors.As(err, &missing) && missing.Field == "service" }},
		{`{"Done":{"i":3,"state_code":"Ok"}}`, func(err error) bool { return errors.As(err, &missing) && missing.Field == "req" }},
		{`{"Done":{"i":3,"req":"0f","state_code":"Fine"}}`, func(err error) bool { return errors.As(err, &outcome) && outcome.Code == "Fine" }},
	} {
		if _, err := Read([]byte(c.line)); !c.matches(err) {
			t.Errorf("%s: %#v", c.line, err)
		}
	}
	var action *UnknownActionError
	if err := WriteAction(&bytes.Buffer{}, 1, "no action"); !errors.As(err, &action) || action.Action != "no action" {
		t.Errorf("WriteAction: %#v", err)
	}
}

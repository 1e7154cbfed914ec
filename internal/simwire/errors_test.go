package simwire

import (
	"bytes"
	"errors"
	"testing"
)

// errorMatcher reports whether an error is the expected one.
type errorMatcher func(error) bool

// missingField matches a *MissingFieldError of a field.
func missingField(field string) errorMatcher {
	return func(err error) bool {
		missing, ok := errors.AsType[*MissingFieldError](err)
		return ok && missing.Field == field
	}
}

// invalidMessage matches a *MessageError of a message with a cause.
func invalidMessage(name string, cause error) errorMatcher {
	return func(err error) bool {
		message, ok := errors.AsType[*MessageError](err)
		return ok && message.Message == name && errors.Is(err, cause)
	}
}

func isSyntaxError(err error) bool {
	_, ok := errors.AsType[*SyntaxError](err)
	return ok
}

func hasTwoNames(err error) bool {
	names, ok := errors.AsType[*NameCountError](err)
	return ok && names.Names == 2
}

// unknownOutcome matches an *UnknownOutcomeError of a state_code.
func unknownOutcome(code string) errorMatcher {
	return func(err error) bool {
		outcome, ok := errors.AsType[*UnknownOutcomeError](err)
		return ok && outcome.Code == code
	}
}

// TestReadErrorsAreTyped checks that callers can tell the kind, the message and the field of an error.
func TestReadErrorsAreTyped(t *testing.T) {
	for _, test := range []struct {
		name    string
		line    string
		matches errorMatcher
	}{
		{"no JSON", `nonsense`, isSyntaxError},
		{"two names", `{"A":{},"B":{}}`, hasTwoNames},
		{"no object", `{"Alarm":[]}`, invalidMessage("Alarm", ErrNotObject)},
		{"unknown message", `{"Launched":{"i":3}}`, invalidMessage("Launched", ErrUnknownMessage)},
		{"Sync without time", `{"Sync":{}}`, missingField("at_time_ms or round")},
		{"event without instance", `{"Done":{"req":"0f"}}`, missingField("i")},
		{"OpenInstance without seed", `{"OpenInstance":{"i":3}}`, missingField("init_seed or settings")},
		{"Alarm without token", `{"Alarm":{"i":3}}`, missingField("token or feedback")},
		{"Req without operation", `{"Req":{"i":3,"req":"0f"}}`, missingField("service")},
		{"Done without id", `{"Done":{"i":3,"state_code":"Ok"}}`, missingField("req")},
		{"unknown outcome", `{"Done":{"i":3,"req":"0f","state_code":"Fine"}}`, unknownOutcome("Fine")},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Read([]byte(test.line)); !test.matches(err) {
				t.Errorf("%s: unexpected error %#v", test.line, err)
			}
		})
	}
}

// TestWriteActionReportsUnknownAction checks that the error holds the action.
func TestWriteActionReportsUnknownAction(t *testing.T) {
	err := WriteAction(&bytes.Buffer{}, 1, "no action")
	unknown, ok := errors.AsType[*UnknownActionError](err)
	if !ok || unknown.Action != "no action" {
		t.Errorf("unexpected error %#v", err)
	}
}

package simwire

import (
	"encoding/json"
	"io"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// command is the union of the fields of all commands. Each command uses some of them.
type command struct {
	Instance     int      `json:"i"`
	ID           string   `json:"req,omitempty"`
	RetryAfterMs float64  `json:"retry_in_ms,omitempty"`
	DontRetry    bool     `json:"give_up,omitempty"`
	TimeoutMs    float64  `json:"within_ms,omitempty"`
	ForMs        float64  `json:"hold_for_ms,omitempty"`
	Healthy      *bool    `json:"want,omitempty"`
	FromStore    bool     `json:"stored,omitempty"`
	Value        *float64 `json:"x,omitempty"`
	AtMs         *float64 `json:"when_ms,omitempty"`
	Token        *int64   `json:"token,omitempty"`
	Message      string   `json:"message,omitempty"`
}

// milliseconds converts a time to the unit of the wire.
func milliseconds(t monotime.Micros) float64 { return float64(t) / float64(monotime.Millisecond) }

// writeLine encodes a message as an object whose only key is the message's name.
func writeLine(w io.Writer, name string, body any) error {
	return json.NewEncoder(w).Encode(map[string]any{name: body})
}

// WriteAction encodes one action of an instance as a line. The error is an *UnknownActionError or that of the writer.
func WriteAction(w io.Writer, instance int, action admission.Action) error {
	switch a := action.(type) {
	case admission.Start:
		return writeLine(w, "Launch", command{Instance: instance, ID: a.ID})
	case admission.Stop:
		return writeLine(w, "Halt", command{Instance: instance, ID: a.ID})
	case admission.Throttle:
		return writeLine(w, "Decline", command{
			Instance:     instance,
			ID:           a.ID,
			RetryAfterMs: milliseconds(a.RetryAfter),
			DontRetry:    a.DontRetry,
		})
	case admission.Fail:
		return writeLine(w, "EndFailed", command{Instance: instance, ID: a.ID})
	case admission.Call:
		return writeLine(w, "CallDep", command{Instance: instance, ID: a.ID, TimeoutMs: milliseconds(a.Timeout)})
	case admission.SkipCall:
		return writeLine(w, "Bypass", command{Instance: instance, ID: a.ID})
	case admission.Remember:
		return writeLine(w, "Keep", command{Instance: instance, ID: a.ID, ForMs: milliseconds(a.For)})
	case admission.Forget:
		return writeLine(w, "Forget", command{Instance: instance, ID: a.ID})
	case admission.Reuse:
		return writeLine(w, "Share", command{Instance: instance, ID: a.ID})
	case admission.SetHealth:
		return writeLine(w, "Health", command{Instance: instance, Healthy: &a.Good, FromStore: a.FromStore})
	case admission.Advertise:
		return writeLine(w, "Stamp", command{Instance: instance, Value: &a.Value})
	case admission.CloseIdle:
		return writeLine(w, "Idle", command{Instance: instance, ForMs: milliseconds(a.After)})
	case admission.Wake:
		at := milliseconds(a.At)
		return writeLine(w, "After", command{Instance: instance, AtMs: &at, Token: &a.Token})
	case admission.Log:
		return writeLine(w, "WriteLog", command{Instance: instance, Message: a.Text})
	}
	return &UnknownActionError{Action: action}
}

// WriteFault encodes a panic of an instance's decision module as a line.
func WriteFault(w io.Writer, instance int, message string) error {
	return writeLine(w, "BailOut", command{Instance: instance, Message: message})
}

// WriteYield encodes the end of the reply to a batch as a line.
func WriteYield(w io.Writer, round int64) error {
	return writeLine(w, "Yield", map[string]int64{"round": round})
}

// Package simwire turns the lines of the willow-5ce1 dialect into admission's events
// and its actions into lines. It decides nothing.
package simwire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"milletbarrow/admission"
	"milletbarrow/internal/config"
)

// InstanceOpened starts a life of an instance.
type InstanceOpened struct {
	Seed   uint64
	Terms  admission.Config
	Gauges []string
}

// InstanceDetached ends a life without warning.
type InstanceDetached struct{}

// GaugeReading carries raw gauge values; name them with InstanceOpened.Gauges.
type GaugeReading struct {
	Token  int64
	Values []float64
}

// Message is one line of input: the clock line, an event, or the end of a batch.
type Message struct {
	Name     string
	At       admission.Micros // Sync
	Round    int64            // Sync
	Instance int
	Event    any // admission.Event, InstanceOpened, InstanceDetached or GaugeReading
}

type fields struct {
	I          *int             `json:"i"`
	At         *float64         `json:"at_time_ms"`
	Round      *int64           `json:"round"`
	Seed       *uint64          `json:"init_seed"`
	Settings   *config.Settings `json:"settings"`
	Req        string           `json:"req"`
	HintMs     float64          `json:"hint_ms"`
	Prio       float64          `json:"prio"`
	WaitedMs   float64          `json:"waited_ms"`
	Project    int              `json:"project"`
	KB         float64          `json:"kb"`
	IsRetry    bool             `json:"is_retry"`
	Service    *int             `json:"service"`
	BudgetMs   float64          `json:"time_budget_ms"`
	Earlier    text             `json:"earlier"`
	StateCode  string           `json:"state_code"`
	DurationMs float64          `json:"duration_ms"`
	Token      *int64           `json:"token"`
	Feedback   *[]float64       `json:"feedback"`
}

// text is a string that may also come as null or as the number 0, meaning none.
type text string

func (t *text) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" || string(raw) == "0" {
		return nil
	}
	return json.Unmarshal(raw, (*string)(t))
}

// codes maps the wire's outcome words.
var codes = map[string]admission.Outcome{
	"Ok": admission.OK, "Failed": admission.Errored, "QueueFull": admission.QueueFull, "TimedOut": admission.TimedOut,
	"ConnectError": admission.Unreachable, "ResetByPeer": admission.Reset, "Canceled": admission.Canceled,
	"Ignored": admission.NeverRan,
}

func millis(t admission.Micros) float64 { return float64(t) / 1000 }

// Read decodes one line.
func Read(line []byte) (Message, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(line, &object); err != nil {
		return Message{}, fmt.Errorf("not a JSON object: %w", err)
	}
	if len(object) != 1 {
		return Message{}, fmt.Errorf("a message has one name, this has %d", len(object))
	}
	var msg Message
	var body json.RawMessage
	for name, raw := range object {
		msg.Name, body = name, raw
	}
	if b := bytes.TrimSpace(body); len(b) == 0 || b[0] != '{' {
		return msg, fmt.Errorf("%s: the fields are not an object", msg.Name)
	}
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return msg, fmt.Errorf("%s: %w", msg.Name, err)
	}
	err := msg.fill(&f)
	if err != nil {
		err = fmt.Errorf("%s: %w", msg.Name, err)
	}
	return msg, err
}

func (msg *Message) fill(f *fields) error {
	switch msg.Name {
	case "Sync":
		if f.At == nil || f.Round == nil {
			return errors.New("at_time_ms or round is missing")
		}
		msg.At, msg.Round = config.Micros(*f.At), *f.Round
		return nil
	case "Commit":
		return nil
	}
	if f.I == nil {
		return errors.New("i is missing")
	}
	msg.Instance = *f.I
	code, known := codes[f.StateCode]
	switch msg.Name {
	case "OpenInstance":
		if f.Seed == nil || f.Settings == nil {
			return errors.New("init_seed or settings is missing")
		}
		msg.Event = InstanceOpened{Seed: *f.Seed, Terms: f.Settings.Admission, Gauges: f.Settings.Gauges}
		return nil
	case "Detach":
		msg.Event = InstanceDetached{}
		return nil
	case "Sigterm":
		msg.Event = admission.DrainNotice{Left: config.Micros(f.BudgetMs)}
		return nil
	case "Alarm":
		if f.Token == nil || f.Feedback == nil {
			return errors.New("token or feedback is missing")
		}
		msg.Event = GaugeReading{Token: *f.Token, Values: *f.Feedback}
		return nil
	case "Req":
		if f.Service == nil {
			return errors.New("service is missing")
		}
		msg.Event = admission.Arrived{
			ID: f.Req, Operation: *f.Service, Tenant: f.Project, Priority: f.Prio, Retry: f.IsRetry,
			ExpectedWork: config.Micros(f.HintMs), QueueTime: config.Micros(f.WaitedMs),
			TimeLeft: config.Micros(f.BudgetMs), MemoryKB: f.KB, RepeatOf: string(f.Earlier),
		}
	case "Done":
		msg.Event = admission.Finished{ID: f.Req, Outcome: code, Took: config.Micros(f.DurationMs)}
	case "TimedOutClient":
		msg.Event = admission.CallerGone{ID: f.Req}
	case "WantsCall":
		msg.Event = admission.NeedsCall{ID: f.Req}
	case "Returned":
		msg.Event = admission.CallReturned{ID: f.Req, Outcome: code, Took: config.Micros(f.DurationMs)}
	default:
		return errors.New("unknown message")
	}
	if f.Req == "" {
		return errors.New("req is missing")
	}
	if (msg.Name == "Done" || msg.Name == "Returned") && !known {
		return fmt.Errorf("unknown state_code %q", f.StateCode)
	}
	return nil
}

// Reading names the raw gauges of an Alarm; what is not among them is -1.
func (g GaugeReading) Reading(names []string) admission.Reading {
	r := config.Reading(names, g.Values)
	r.Token = g.Token
	return r
}

type steer struct {
	I       int      `json:"i"`
	Req     string   `json:"req,omitempty"`
	RetryIn float64  `json:"retry_in_ms,omitempty"`
	GiveUp  bool     `json:"give_up,omitempty"`
	Within  float64  `json:"within_ms,omitempty"`
	HoldFor float64  `json:"hold_for_ms,omitempty"`
	Want    *bool    `json:"want,omitempty"`
	Stored  bool     `json:"stored,omitempty"`
	X       *float64 `json:"x,omitempty"`
	When    *float64 `json:"when_ms,omitempty"`
	Token   *int64   `json:"token,omitempty"`
	Message string   `json:"message,omitempty"`
}

func writeLine(w io.Writer, name string, body any) error {
	return json.NewEncoder(w).Encode(map[string]any{name: body})
}

// WriteAction encodes one action of an instance.
func WriteAction(w io.Writer, i int, action admission.Action) error {
	switch a := action.(type) {
	case admission.Start:
		return writeLine(w, "Launch", steer{I: i, Req: a.ID})
	case admission.Stop:
		return writeLine(w, "Halt", steer{I: i, Req: a.ID})
	case admission.Throttle:
		return writeLine(w, "Decline", steer{I: i, Req: a.ID, RetryIn: millis(a.RetryAfter), GiveUp: a.DontRetry})
	case admission.Fail:
		return writeLine(w, "EndFailed", steer{I: i, Req: a.ID})
	case admission.Call:
		return writeLine(w, "CallDep", steer{I: i, Req: a.ID, Within: millis(a.Timeout)})
	case admission.SkipCall:
		return writeLine(w, "Bypass", steer{I: i, Req: a.ID})
	case admission.Remember:
		return writeLine(w, "Keep", steer{I: i, Req: a.ID, HoldFor: millis(a.For)})
	case admission.Forget:
		return writeLine(w, "Forget", steer{I: i, Req: a.ID})
	case admission.Reuse:
		return writeLine(w, "Share", steer{I: i, Req: a.ID})
	case admission.SetHealth:
		return writeLine(w, "Health", steer{I: i, Want: &a.Good, Stored: a.FromStore})
	case admission.Advertise:
		return writeLine(w, "Stamp", steer{I: i, X: &a.Value})
	case admission.CloseIdle:
		return writeLine(w, "Idle", steer{I: i, HoldFor: millis(a.After)})
	case admission.Wake:
		at := millis(a.At)
		return writeLine(w, "After", steer{I: i, When: &at, Token: &a.Token})
	case admission.Log:
		return writeLine(w, "WriteLog", steer{I: i, Message: a.Text})
	}
	return fmt.Errorf("no line for action %T", action)
}

// WriteFault declares that the decision code of an instance has failed.
func WriteFault(w io.Writer, i int, message string) error {
	return writeLine(w, "BailOut", steer{I: i, Message: message})
}

// WriteYield ends the reply to a batch.
func WriteYield(w io.Writer, round int64) error {
	return writeLine(w, "Yield", map[string]int64{"round": round})
}

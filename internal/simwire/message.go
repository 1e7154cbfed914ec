// Package simwire is the simulator's wire, in its willow-5ce1 dialect: it decodes lines into events of the decision
// module and encodes the module's actions as lines. It decides nothing.
package simwire

import (
	"bytes"
	"encoding/json"

	"milletbarrow/admission"
	"milletbarrow/internal/config"
	"milletbarrow/monotime"
)

// InstanceOpened is the event that starts an instance.
type InstanceOpened struct {
	Seed   uint64
	Config admission.Config
	Gauges []string // names, in the order of GaugeReading.Values
}

// InstanceDetached is the event that ends an instance without warning.
type InstanceDetached struct{}

// GaugeReading is a timer with raw gauge values, whose names InstanceOpened has given.
type GaugeReading struct {
	Token  int64
	Values []float64
}

// Message is one line of input: the clock line, an event, or the end of a batch.
type Message struct {
	Name     string          // as on the wire
	At       monotime.Micros // of a Sync: the time of the events that follow
	Round    int64           // of a Sync: the number of the batch
	Instance int
	Event    any // an admission.Event, InstanceOpened, InstanceDetached or GaugeReading; nil for Sync and Commit
}

// fields are those of all messages; each has some of them.
type fields struct {
	Instance       *int             `json:"i"`
	AtMs           *float64         `json:"at_time_ms"`
	Round          *int64           `json:"round"`
	Seed           *uint64          `json:"init_seed"`
	Settings       *config.Settings `json:"settings"`
	ID             string           `json:"req"`
	ExpectedWorkMs float64          `json:"hint_ms"`
	Priority       float64          `json:"prio"`
	QueueTimeMs    float64          `json:"waited_ms"`
	Tenant         int              `json:"project"`
	MemoryKB       float64          `json:"kb"`
	Retry          bool             `json:"is_retry"`
	Operation      *int             `json:"service"`
	TimeLeftMs     float64          `json:"time_budget_ms"`
	RepeatOf       optionalString   `json:"earlier"`
	Outcome        string           `json:"state_code"`
	DurationMs     float64          `json:"duration_ms"`
	Token          *int64           `json:"token"`
	Gauges         *[]float64       `json:"feedback"`
}

// optionalString is a string that may also come as null or as the number 0, meaning none.
type optionalString string

// UnmarshalJSON implements json.Unmarshaler.
func (t *optionalString) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" || string(raw) == "0" {
		return nil
	}
	return json.Unmarshal(raw, (*string)(t))
}

// outcomes are by state_code.
var outcomes = map[string]admission.Outcome{
	"Ok": admission.OK, "Failed": admission.Errored, "QueueFull": admission.QueueFull, "TimedOut": admission.TimedOut,
	"ConnectError": admission.Unreachable, "ResetByPeer": admission.Reset, "Canceled": admission.Canceled,
	"Ignored": admission.NeverRan,
}

// Read decodes one line. An error names the message, where it has a name, and the field.
func Read(line []byte) (Message, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(line, &object); err != nil {
		return Message{}, &SyntaxError{Err: err}
	}
	if len(object) != 1 {
		return Message{}, &NameCountError{Names: len(object)}
	}
	var msg Message
	var body json.RawMessage
	for name, raw := range object {
		msg.Name, body = name, raw
	}
	if b := bytes.TrimSpace(body); len(b) == 0 || b[0] != '{' {
		return msg, &MessageError{Message: msg.Name, Err: ErrNotObject}
	}
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return msg, &MessageError{Message: msg.Name, Err: err}
	}
	err := msg.decode(&f)
	if err != nil {
		err = &MessageError{Message: msg.Name, Err: err}
	}
	return msg, err
}

// decode sets the message's event, or the time of a Sync, from its fields.
func (msg *Message) decode(f *fields) error {
	switch msg.Name {
	case "Sync":
		if f.AtMs == nil || f.Round == nil {
			return &MissingFieldError{Field: "at_time_ms or round"}
		}
		msg.At, msg.Round = monotime.FromMilliseconds(*f.AtMs), *f.Round
		return nil
	case "Commit":
		return nil
	}
	if f.Instance == nil {
		return &MissingFieldError{Field: "i"}
	}
	msg.Instance = *f.Instance
	var err error
	switch msg.Name {
	case "OpenInstance", "Detach", "Sigterm", "Alarm":
		msg.Event, err = f.instanceEvent(msg.Name)
	default:
		msg.Event, err = f.invocationEvent(msg.Name)
	}
	return err
}

// instanceEvent decodes an event of an instance.
func (f *fields) instanceEvent(name string) (any, error) {
	switch name {
	case "OpenInstance":
		if f.Seed == nil || f.Settings == nil {
			return nil, &MissingFieldError{Field: "init_seed or settings"}
		}
		return InstanceOpened{Seed: *f.Seed, Config: f.Settings.Admission, Gauges: f.Settings.Gauges}, nil
	case "Detach":
		return InstanceDetached{}, nil
	case "Sigterm":
		return admission.DrainNotice{Left: monotime.FromMilliseconds(f.TimeLeftMs)}, nil
	}
	if f.Token == nil || f.Gauges == nil {
		return nil, &MissingFieldError{Field: "token or feedback"}
	}
	return GaugeReading{Token: *f.Token, Values: *f.Gauges}, nil
}

// invocationEvent decodes what happens to an invocation.
func (f *fields) invocationEvent(name string) (event admission.Event, err error) {
	outcome, known := outcomes[f.Outcome]
	switch name {
	case "Req":
		if f.Operation == nil {
			return nil, &MissingFieldError{Field: "service"}
		}
		event = admission.Arrived{
			ID: f.ID, Operation: *f.Operation, Tenant: f.Tenant, Priority: f.Priority, Retry: f.Retry,
			ExpectedWork: monotime.FromMilliseconds(f.ExpectedWorkMs), QueueTime: monotime.FromMilliseconds(f.QueueTimeMs),
			TimeLeft: monotime.FromMilliseconds(f.TimeLeftMs), MemoryKB: f.MemoryKB, RepeatOf: string(f.RepeatOf),
		}
	case "Done":
		event = admission.Finished{ID: f.ID, Outcome: outcome, Took: monotime.FromMilliseconds(f.DurationMs)}
	case "TimedOutClient":
		event = admission.CallerGone{ID: f.ID}
	case "WantsCall":
		event = admission.NeedsCall{ID: f.ID}
	case "Returned":
		event = admission.CallReturned{ID: f.ID, Outcome: outcome, Took: monotime.FromMilliseconds(f.DurationMs)}
	default:
		return nil, ErrUnknownMessage
	}
	if f.ID == "" {
		return nil, &MissingFieldError{Field: "req"}
	}
	if (name == "Done" || name == "Returned") && !known {
		return nil, &UnknownOutcomeError{Code: f.Outcome}
	}
	return event, nil
}

// Reading names the values; a gauge that is not among names is -1.
func (g GaugeReading) Reading(names []string) admission.Reading {
	r := config.Reading(names, g.Values)
	r.Token = g.Token
	return r
}

// Package simwire implements the willow-5ce1 dialect of the simulator's protocol. It decodes lines into events of the
// decision module and encodes the module's actions as lines. It makes no decisions.
package simwire

import (
	"bytes"
	"encoding/json"

	"milletbarrow/admission"
	"milletbarrow/internal/config"
	"milletbarrow/monotime"
)

// Names of the messages on the wire.
const (
	messageSync         = "Sync"
	messageCommit       = "Commit"
	messageOpened       = "OpenInstance"
	messageDetached     = "Detach"
	messageDrainNotice  = "Sigterm"
	messageTimer        = "Alarm"
	messageArrived      = "Req"
	messageFinished     = "Done"
	messageCallerGone   = "TimedOutClient"
	messageNeedsCall    = "WantsCall"
	messageCallReturned = "Returned"
)

// InstanceOpened is the event that starts an instance.
type InstanceOpened struct {
	// Seed initializes the random numbers of the decision module.
	Seed   uint64
	Config admission.Config
	// Gauges are the names of the gauges, in the order of GaugeReading.Values.
	Gauges []string
}

// InstanceDetached is the event that ends an instance without a drain notice.
type InstanceDetached struct{}

// GaugeReading is the event of a timer that has fired, with the values of the gauges named by InstanceOpened.
type GaugeReading struct {
	Token  int64
	Values []float64
}

// Message is one line of input: the start of a batch (Sync), an event or the end of a batch (Commit).
type Message struct {
	// Name is the name on the wire.
	Name string
	// At is the time of the events that follow a Sync; zero for other messages.
	At monotime.Micros
	// Round is the number of the batch that a Sync begins; zero for other messages.
	Round int64
	// Instance is the number of the instance that an event concerns; zero for Sync and Commit.
	Instance int
	// Event is an admission.Event, InstanceOpened, InstanceDetached or GaugeReading; nil for Sync and Commit.
	Event any
}

// fields is the union of the fields of all messages. Each message uses some of them.
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
	StateCode      string           `json:"state_code"`
	DurationMs     float64          `json:"duration_ms"`
	Token          *int64           `json:"token"`
	Gauges         *[]float64       `json:"feedback"`
}

// optionalString is a string that is empty if the wire has null or the number 0.
type optionalString string

// UnmarshalJSON implements json.Unmarshaler.
func (s *optionalString) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" || string(raw) == "0" {
		return nil
	}
	return json.Unmarshal(raw, (*string)(s))
}

// outcomes maps each state_code to its outcome.
var outcomes = map[string]admission.Outcome{
	"Ok":           admission.OK,
	"Failed":       admission.Errored,
	"QueueFull":    admission.QueueFull,
	"TimedOut":     admission.TimedOut,
	"ConnectError": admission.Unreachable,
	"ResetByPeer":  admission.Reset,
	"Canceled":     admission.Canceled,
	"Ignored":      admission.NeverRan,
}

// Read decodes one line. The error is a *SyntaxError, a *NameCountError or a *MessageError.
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
		msg.Name = name
		body = raw
	}
	if !bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		return msg, &MessageError{Message: msg.Name, Err: ErrNotObject}
	}
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return msg, &MessageError{Message: msg.Name, Err: err}
	}
	if err := msg.decode(&f); err != nil {
		return msg, &MessageError{Message: msg.Name, Err: err}
	}
	return msg, nil
}

// decode sets the message's event, or the time and number of the batch, from its fields.
func (msg *Message) decode(f *fields) error {
	switch msg.Name {
	case messageSync:
		return msg.decodeSync(f)
	case messageCommit:
		return nil
	}
	if f.Instance == nil {
		return &MissingFieldError{Field: "i"}
	}
	msg.Instance = *f.Instance
	var err error
	switch msg.Name {
	case messageOpened, messageDetached, messageDrainNotice, messageTimer:
		msg.Event, err = f.instanceEvent(msg.Name)
	default:
		msg.Event, err = f.invocationEvent(msg.Name)
	}
	return err
}

// decodeSync sets the time and number of the batch.
func (msg *Message) decodeSync(f *fields) error {
	if f.AtMs == nil || f.Round == nil {
		return &MissingFieldError{Field: "at_time_ms or round"}
	}
	msg.At = monotime.FromMilliseconds(*f.AtMs)
	msg.Round = *f.Round
	return nil
}

// instanceEvent decodes an event that concerns an instance as a whole.
func (f *fields) instanceEvent(name string) (any, error) {
	switch name {
	case messageOpened:
		if f.Seed == nil || f.Settings == nil {
			return nil, &MissingFieldError{Field: "init_seed or settings"}
		}
		return InstanceOpened{Seed: *f.Seed, Config: f.Settings.Admission, Gauges: f.Settings.Gauges}, nil
	case messageDetached:
		return InstanceDetached{}, nil
	case messageDrainNotice:
		return admission.DrainNotice{Left: monotime.FromMilliseconds(f.TimeLeftMs)}, nil
	case messageTimer:
		if f.Token == nil || f.Gauges == nil {
			return nil, &MissingFieldError{Field: "token or feedback"}
		}
		return GaugeReading{Token: *f.Token, Values: *f.Gauges}, nil
	}
	return nil, ErrUnknownMessage
}

// invocationEvent decodes an event that concerns one invocation.
func (f *fields) invocationEvent(name string) (admission.Event, error) {
	var decode func() (admission.Event, error)
	switch name {
	case messageArrived:
		if f.Operation == nil {
			return nil, &MissingFieldError{Field: "service"}
		}
		decode = f.arrived
	case messageFinished:
		decode = f.finished
	case messageCallerGone:
		decode = func() (admission.Event, error) { return admission.CallerGone{ID: f.ID}, nil }
	case messageNeedsCall:
		decode = func() (admission.Event, error) { return admission.NeedsCall{ID: f.ID}, nil }
	case messageCallReturned:
		decode = f.callReturned
	default:
		return nil, ErrUnknownMessage
	}
	if f.ID == "" {
		return nil, &MissingFieldError{Field: "req"}
	}
	return decode()
}

// arrived decodes the arrival of an invocation, whose operation is set.
func (f *fields) arrived() (admission.Event, error) {
	return admission.Arrived{
		ID:           f.ID,
		Operation:    *f.Operation,
		Tenant:       f.Tenant,
		Priority:     f.Priority,
		Retry:        f.Retry,
		ExpectedWork: monotime.FromMilliseconds(f.ExpectedWorkMs),
		QueueTime:    monotime.FromMilliseconds(f.QueueTimeMs),
		TimeLeft:     monotime.FromMilliseconds(f.TimeLeftMs),
		MemoryKB:     f.MemoryKB,
		RepeatOf:     string(f.RepeatOf),
	}, nil
}

// finished decodes the end of an invocation.
func (f *fields) finished() (admission.Event, error) {
	outcome, err := f.outcome()
	if err != nil {
		return nil, err
	}
	return admission.Finished{ID: f.ID, Outcome: outcome, Took: monotime.FromMilliseconds(f.DurationMs)}, nil
}

// callReturned decodes the end of an invocation's call of a dependency.
func (f *fields) callReturned() (admission.Event, error) {
	outcome, err := f.outcome()
	if err != nil {
		return nil, err
	}
	return admission.CallReturned{ID: f.ID, Outcome: outcome, Took: monotime.FromMilliseconds(f.DurationMs)}, nil
}

// outcome decodes the state_code.
func (f *fields) outcome() (admission.Outcome, error) {
	outcome, known := outcomes[f.StateCode]
	if !known {
		return outcome, &UnknownOutcomeError{Code: f.StateCode}
	}
	return outcome, nil
}

// Reading returns the values by gauge; names are those of the values, in order. A gauge that is not named is -1.
func (g GaugeReading) Reading(names []string) admission.Reading {
	reading := config.Reading(names, g.Values)
	reading.Token = g.Token
	return reading
}

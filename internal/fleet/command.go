package fleet

import (
	"errors"
	"fmt"
	"slices"
)

// Kind is what a command asks for.
type Kind string

// The kinds. A restart and a wave end with the instance up again; Stop is Drain that may be told not to wait.
const (
	Start   Kind = "start"
	Drain   Kind = "drain"
	Stop    Kind = "stop"
	Restart Kind = "restart"
	Wave    Kind = "wave"
	Rise    Kind = "rise" // what is down starts as the whole fleet's rise lets it; what serves stays
)

// Kinds lists them.
func Kinds() []Kind { return []Kind{Start, Drain, Stop, Restart, Wave, Rise} }

// Command is what somebody asked for. All but Results and what is below it stays as it came.
type Command struct {
	ID       string     `json:"id"`
	Kind     Kind       `json:"kind"`
	Names    []string   `json:"names"`
	By       string     `json:"by"`               // who asked
	Asked    int64      `json:"asked_unix_us"`    // wall clock, for people
	Due      Micros     `json:"due"`              // what has no result by then is late
	Now      bool       `json:"now,omitempty"`    // Stop: killed at once, its callers get no answer
	Terms    *WaveTerms `json:"terms,omitempty"`  // Wave
	Budget   string     `json:"budget,omitempty"` // Wave: a count of the fleet, of which each that is out holds a unit
	Number   int        `json:"number"`           // order of arrival at this agent
	State    State      `json:"state"`
	Cause    string     `json:"cause,omitempty"` // of a pause or a cancel
	Begun    Micros     `json:"begun"`
	Finished Micros     `json:"finished,omitempty"`

	Results map[string]Result `json:"results"`          // exactly one an instance, never changed
	Failed  int               `json:"failed,omitempty"` // since the last resume
	Spares  []string          `json:"spares,omitempty"` // of a wave with surge
	Stage   Stage             `json:"stage,omitempty"`  // of a wave
	Out     map[string]bool   `json:"out,omitempty"`    // released by the wave and not back
	Stuck   Micros            `json:"stuck,omitempty"`  // since when the wave could not go on; 0: it can
	Turned  Micros            `json:"turned,omitempty"` // since when too many were turned away; 0: they are not
}

// State of a command.
type State string

// The states. A paused wave releases nothing, what is out comes back.
const (
	Open      State = "open"
	Paused    State = "paused"
	Cancelled State = "cancelled" // nothing new; open until what was begun has ended
	Done      State = "done"
)

// Stage of a wave.
type Stage string

// The stages of a wave with surge; one without has the second only.
const (
	SparesUp   Stage = "spares up"
	Rolling    Stage = "rolling"
	SparesDown Stage = "spares down"
)

// Outcome of a command for one instance.
type Outcome string

// The outcomes. Succeeded, Already and Killed mean that it is as asked; Killed that its callers may have lost
// answers on the way.
const (
	Succeeded  Outcome = "done"
	Already    Outcome = "already"
	Killed     Outcome = "killed"
	Failing    Outcome = "failed"
	Superseded Outcome = "superseded"
	Late       Outcome = "late"
	Withdrawn  Outcome = "cancelled"
	Skipped    Outcome = "skipped"
)

// AsAsked tells whether the instance is as the command wanted it.
func (o Outcome) AsAsked() bool { return o == Succeeded || o == Already || o == Killed }

// Result is a command's end for one instance.
type Result struct {
	Outcome Outcome `json:"outcome"`
	Cause   string  `json:"cause,omitempty"`
	At      Micros  `json:"at"`
}

// Why a command is not taken.
var (
	ErrOther   = errors.New("a command with this id and other content was taken before")
	ErrUnknown = errors.New("no such command")
	ErrFull    = errors.New("too many commands are open")
	ErrWave    = errors.New("a wave is open; cancel it, or wait for its end")
)

// check tells whether the command can be taken at all.
func (c *Command) check() error {
	if err := CheckName(c.ID); err != nil {
		return fmt.Errorf("id: %w", err)
	}
	if !slices.Contains(Kinds(), c.Kind) {
		return fmt.Errorf("kind: %q is none of %v", c.Kind, Kinds())
	}
	if len(c.Names) == 0 {
		return errors.New("names: none")
	}
	if c.Now && c.Kind != Stop {
		return fmt.Errorf("now: not with %s", c.Kind)
	}
	if (c.Terms != nil) != (c.Kind == Wave) {
		return fmt.Errorf("terms: they belong to a wave, and a wave needs them")
	}
	if c.Kind == Rise && c.Budget == "" {
		return errors.New("budget: a rise needs a count of the fleet's file")
	}
	if c.Budget != "" && c.Kind != Wave && c.Kind != Rise {
		return fmt.Errorf("budget: not with %s", c.Kind)
	}
	if c.Terms != nil {
		return c.Terms.Check()
	}
	return nil
}

// same tells whether two commands ask for the same; who asked and when does not matter.
func (c *Command) same(o *Command) bool {
	terms := c.Terms == o.Terms || c.Terms != nil && o.Terms != nil && *c.Terms == *o.Terms
	return c.Kind == o.Kind && c.Now == o.Now && c.Budget == o.Budget && terms && slices.Equal(c.Names, o.Names)
}

// clone is a copy that shares nothing that changes.
func (c *Command) clone() *Command {
	d := *c
	d.Results = cloneMap(c.Results)
	d.Out = cloneMap(c.Out)
	return &d
}

func cloneMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// all lists the command's instances, spares too.
func (c *Command) all() []string { return append(slices.Clone(c.Names), c.Spares...) }

// open lists those that have no result yet.
func (c *Command) open() (names []string) {
	for _, n := range c.all() {
		if _, over := c.Results[n]; !over {
			names = append(names, n)
		}
	}
	return names
}

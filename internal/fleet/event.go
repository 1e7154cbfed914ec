package fleet

// Event is an input of Machine.Decide.
type Event interface{ event() }

// CommandReceived reports a command. A command with a known ID and the same content changes nothing.
type CommandReceived struct{ Command *Command }

// InstanceObserved reports an observation of an instance.
type InstanceObserved struct {
	Name        string // of the instance
	Observation Observation
	// Unrecorded is true if no supervisor ever recorded the incarnation. While the launch is pending, the observation
	// is then ignored: it does not prove that the incarnation has ended.
	Unrecorded bool
}

// ActionFailed reports an action that could not be carried out.
type ActionFailed struct {
	Name     string // of the instance
	ActionID string
	Cause    string
	Final    bool // another attempt would fail too
}

// CommandControl pauses, resumes or cancels a command.
type CommandControl struct {
	CommandID   string
	Verb        Verb
	RequestedBy string // user or program, for people
}

// Verb is the effect of CommandControl on a command.
type Verb string

// The verbs of CommandControl.
const (
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel"
)

// Tick reports that time has passed.
type Tick struct{}

// UnitAcquired reports the quota store's answer to ActionAcquireUnit. A call without an answer gives no event.
type UnitAcquired struct {
	HeldUnit
	Granted bool
	Cause   string // of a denial; empty: granted
}

// UnitReleased reports that the quota store took a unit back.
type UnitReleased struct {
	Name      string // of the instance
	RequestID string
}

// UnitsListed reports all units that, for the quota store, instances of this host hold.
type UnitsListed struct{ Units []HeldUnit }

func (CommandReceived) event() {}

func (InstanceObserved) event() {}

func (ActionFailed) event() {}

func (CommandControl) event() {}

func (Tick) event() {}

func (UnitAcquired) event() {}

func (UnitReleased) event() {}

func (UnitsListed) event() {}

package fleet

// Event is an input of Machine.Decide.
type Event interface{ event() }

// CommandReceived reports a command. A repeated command with the same ID and content changes nothing.
type CommandReceived struct{ Command *Command }

// InstanceObserved reports an observation of an instance.
type InstanceObserved struct {
	Name        string // of the instance
	Observation Observation
	// Unrecorded is true if no supervisor ever recorded the incarnation. While the launch is pending, such an
	// observation is ignored: it does not prove that the incarnation has ended.
	Unrecorded bool
}

// ActionFailed reports an action that could not be carried out.
type ActionFailed struct {
	Name     string // of the instance
	ActionID string
	Cause    string
	Final    bool // a retry would fail too
}

// CommandControl pauses, resumes or cancels a command.
type CommandControl struct {
	CommandID   string
	Verb        Verb
	RequestedBy string // user or program; informational
}

// Verb is the operation of CommandControl on a command.
type Verb string

// The verbs of CommandControl.
const (
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel"
)

// Tick reports that time has passed.
type Tick struct{}

// UnitAcquired reports the quota store's answer to ActionAcquireUnit. A call that gets no answer leads to no event.
type UnitAcquired struct {
	HeldUnit
	Granted bool
	Cause   string // of a denial; empty if the unit was granted
}

// UnitReleased reports that the quota store has released a unit.
type UnitReleased struct {
	Name      string // of the instance
	RequestID string
}

// UnitsListed reports all units that the quota store records as held by instances of this host.
type UnitsListed struct{ Units []HeldUnit }

func (CommandReceived) event() {}

func (InstanceObserved) event() {}

func (ActionFailed) event() {}

func (CommandControl) event() {}

func (Tick) event() {}

func (UnitAcquired) event() {}

func (UnitReleased) event() {}

func (UnitsListed) event() {}

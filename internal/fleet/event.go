package fleet

// Event is a fact that Machine.Decide takes in.
type Event interface{ event() }

// CommandReceived brings a command. One with a known ID and the same content changes nothing.
type CommandReceived struct{ Command *Command }

// InstanceObserved brings what was observed of an instance.
type InstanceObserved struct {
	Name        string
	Observation Observation
	// Unrecorded reports that no supervisor ever wrote about the incarnation. That proves no end while its launch is
	// under way: the observation then says nothing.
	Unrecorded bool
}

// ActionFailed reports that an action can't be carried out.
type ActionFailed struct {
	Name     string // of the instance
	ActionID string
	Cause    string
	Final    bool // another attempt would not help
}

// CommandControl pauses, resumes or cancels a command.
type CommandControl struct {
	CommandID   string
	Verb        Verb
	RequestedBy string
}

// Verb is what CommandControl does to a command.
type Verb string

// The verbs.
const (
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel"
)

// Tick reports that time has passed.
type Tick struct{}

// UnitAcquired is the quota store's answer to ActionAcquireUnit. A call without an answer brings none.
type UnitAcquired struct {
	HeldUnit
	Granted bool
	Cause   string // why it was not granted
}

// UnitReleased reports that the quota store has a unit back.
type UnitReleased struct {
	Name      string // of the instance
	RequestID string
}

// UnitsListed brings all units that the quota store has this host's instances hold.
type UnitsListed struct{ Units []HeldUnit }

func (CommandReceived) event() {}

func (InstanceObserved) event() {}

func (ActionFailed) event() {}

func (CommandControl) event() {}

func (Tick) event() {}

func (UnitAcquired) event() {}

func (UnitReleased) event() {}

func (UnitsListed) event() {}

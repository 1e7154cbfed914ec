package fleet

import (
	"strconv"

	"milletbarrow/internal/cluster/coldstart"
)

// Phase is where an instance is in its life, as far as it is seen.
type Phase string

// The phases. What is wanted stands apart, in Instance.Up.
const (
	PhaseAbsent       Phase = "absent"   // never started
	PhaseStarting     Phase = "starting" // launched, not ready yet
	PhaseReady        Phase = "ready"    // answers health checks with good
	PhaseUnready      Phase = "unready"  // was ready, and is not while nobody told it to leave
	PhaseDraining     Phase = "draining" // told to leave, within its grace
	PhaseStopping     Phase = "stopping" // its grace is over, what it holds is answered
	PhaseUnresponsive Phase = "deaf"     // told to leave and shows no sign of it; killed before its grace ends
	PhaseExited       Phase = "gone"     // ended after it was told to
	PhaseFailed       Phase = "failed"   // ended by itself, could not be launched, or did not become ready
	PhaseUnknown      Phase = "unknown"  // it can't be seen; that is not gone
)

// leaves tells whether it is on its way out.
func (p Phase) leaving() bool {
	return p == PhaseDraining || p == PhaseStopping || p == PhaseUnresponsive
}

// Down tells whether no process of it is left.
func (p Phase) Down() bool { return p == PhaseAbsent || p == PhaseExited || p == PhaseFailed }

// Sight is what the keeper of an instance, or the look for one, has shown.
type Observation struct {
	Incarnation string `json:"run"`   // the life it is about
	Phase       Phase  `json:"phase"` // Starting, Ready, Unready, Draining, Stopping, Deaf, Gone, Unknown
	NoticeID    string `json:"told"`  // the notice that its keeper has taken; empty: none
	Cause       string `json:"cause,omitempty"`
	Orphaned    bool   `json:"orphan,omitempty"` // Unknown: it lives and its keeper does not
	Exit        Exit   `json:"end"`              // Gone
	Invocations int    `json:"picked"`           // invocations since its start
	Rejected    int    `json:"turned"`           // of them throttled or errored
	Level       string `json:"level,omitempty"`  // of reduced service
	LevelCause  string `json:"why,omitempty"`    // its latest change
	Detail      any    `json:"detail,omitempty"` // for people
}

// End is how a life ended.
type Exit struct {
	Code       int    `json:"code"`             // exit code; -1 if a signal ended it
	Signal     string `json:"signal,omitempty"` // that ended it
	KillReason string `json:"killed,omitempty"` // why it was killed, if we did it
	Unobserved bool   `json:"unseen,omitempty"` // nobody was there to see the exit code
	Uptime     Micros `json:"lived,omitempty"`
	DrainTime  Micros `json:"after,omitempty"` // from the notice to the end; 0: no notice
}

func (e Exit) String() string {
	switch {
	case e.KillReason != "":
		return "killed: " + e.KillReason
	case e.Signal != "":
		return "died of signal " + e.Signal
	case e.Unobserved:
		return "ended, its exit code was not seen"
	}
	return "exit code " + strconv.Itoa(e.Code)
}

// fullService is the degradation level of an instance without degradation.
const fullService = "full"

// unknownInvocations stands for a count from before a restart of the agent.
const unknownInvocations = -1

// Instance is all that is known of one. Fields that a restart needs are written down with it.
type Instance struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Spare bool   `json:"spare,omitempty"`

	DesiredUp      bool       `json:"up"`                // wanted
	RestartPending bool       `json:"recycle,omitempty"` // it is to leave, and to come up again
	CommandID      string     `json:"task,omitempty"`    // the command that waits for it
	ActionCount    int        `json:"serial"`            // of the steps given for it
	ActionID       string     `json:"step,omitempty"`    // the last of them
	LastAction     ActionKind `json:"doing,omitempty"`   // and what it was
	ActionPending  bool       `json:"pending,omitempty"` // it is not known to have been taken

	Incarnation       string       `json:"run,omitempty"` // the life it is in: the step that launched it
	NoticeID          string       `json:"told,omitempty"`
	NotifiedAt        Micros       `json:"told_at,omitempty"`
	PhaseDeadline     Micros       `json:"deadline,omitempty"` // of the phase; 0: none. Never 0 once it was told to leave
	GiveUpReason      string       `json:"gave_up,omitempty"`  // why it was told to leave though it is wanted
	LaunchesExhausted bool         `json:"spent,omitempty"`    // no further launch until somebody asks for one
	LaunchRequested   bool         `json:"free,omitempty"`     // the next launch was asked for, and costs no attempt
	KillAttempts      int          `json:"kills,omitempty"`    // in this life
	LastExit          Exit         `json:"last"`               // of the life before
	LaunchBudget      LaunchBudget `json:"budget"`             // launches by itself
	Unit              Unit         `json:"unit,omitzero"`      // of the fleet's count of what is out
	UnitRequests      int          `json:"turns,omitempty"`    // of asking for one
	Attempts          int          `json:"tries,omitempty"`    // of the step, or of launches in a row
	NextAttemptAt     Micros       `json:"next,omitempty"`     // no try before

	Phase       Phase  `json:"phase"`
	PhaseSince  Micros `json:"since"`
	Cause       string `json:"cause,omitempty"`
	ReadySince  Micros `json:"steady,omitempty"` // ready since; 0: not ready
	Invocations int    `json:"picked,omitempty"`
	Rejected    int    `json:"turned,omitempty"`
	Level       string `json:"level,omitempty"` // of reduced service, as it was last seen
	Detail      any    `json:"-"`

	group     *GroupSpec
	shutdown  ShutdownWindow
	fileOrder int
}

// Window is what an instance has from the notice on, by its configuration.
type ShutdownWindow struct {
	Grace       Micros // what arrives later does not run
	ExitTimeout Micros // it has ended by then
}

// What is a step.
type ActionKind string

// The steps.
const (
	ActionLaunch ActionKind = "launch" // start a keeper with the instance, or a keeper alone where Adopt is set
	ActionNotify ActionKind = "tell"   // the notice to leave
	ActionKill   ActionKind = "kill"   // end it at once
)

// Step is to be taken by the agent once it is written down. The same ID may come again: it is one step.
type Action struct {
	Kind        ActionKind        `json:"what"`
	ID          string            `json:"id"`
	Name        string            `json:"name"`
	Incarnation string            `json:"run"`
	Adopt       bool              `json:"adopt,omitempty"`
	NotifiedAt  Micros            `json:"told,omitempty"` // Tell: when it was first told; its window runs from there
	Cause       string            `json:"cause,omitempty"`
	Unit        Unit              // of a step about one
	StartResult coldstart.Outcome `json:"End"`
}

// Note is a line of history.
type HistoryEvent struct {
	At        Micros `json:"at"`
	Name      string `json:"name,omitempty"`
	CommandID string `json:"command,omitempty"`
	Event     string `json:"event"`
	Cause     string `json:"cause,omitempty"`
}

func (in *Instance) setPhase(now Micros, p Phase, cause string) {
	if in.Phase != p {
		in.Phase, in.PhaseSince = p, now
	}
	in.Cause = cause
	if p != PhaseReady {
		in.ReadySince = 0
	} else if in.ReadySince == 0 {
		in.ReadySince = now
	}
}

// Settled tells whether it has been ready for long enough to be counted on.
func (in *Instance) Settled(now Micros) bool {
	return in.Phase == PhaseReady && now-in.ReadySince >= in.group.Settle
}

// usable tells whether a wave may count on it.
func (in *Instance) available(now Micros) bool {
	return in.DesiredUp && !in.RestartPending && in.NoticeID == "" && in.Settled(now)
}

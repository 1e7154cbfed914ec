package fleet

import (
	"fmt"
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

// unknownCount stands for a count from before a restart of the agent.
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

// seen takes in a sight and tells whether the life has ended with it. Those of other lives say nothing.
func (m *Machine) handleObservation(now Micros, in *Instance, s Observation) {
	if in.Incarnation == "" || s.Incarnation != in.Incarnation {
		return
	}
	if s.Phase == PhaseExited {
		m.handleExit(now, in, s.Exit)
		return
	}
	in.Detail = s.Detail
	if in.Invocations != unknownInvocations && s.Invocations >= in.Invocations && s.Rejected >= in.Rejected && s.Phase != PhaseUnknown {
		m.rejections.add(now, s.Invocations-in.Invocations, s.Rejected-in.Rejected)
	}
	if s.Phase != PhaseUnknown {
		in.Invocations, in.Rejected = s.Invocations, s.Rejected
	}
	if s.Level != "" && s.Level != in.Level { // so that the history has it after the instance's own death
		if in.Level != "" || s.Level != "full" {
			m.recordEvent(now, in, "level "+s.Level, s.LevelCause)
		}
		in.Level = s.Level
		m.markInstanceChanged(in)
	}
	if s.Phase != PhaseUnknown { // then its keeper is there, and says which steps it has taken
		if in.ActionPending && (in.LastAction == ActionLaunch || in.LastAction == ActionNotify && s.NoticeID == in.NoticeID) {
			in.ActionPending, in.Attempts = false, 0
			m.markInstanceChanged(in)
		}
		if in.NoticeID != "" && s.NoticeID != in.NoticeID && in.KillAttempts == 0 && !in.ActionPending { // a new keeper that has not heard of it
			in.ActionID, in.LastAction, in.ActionPending, in.NextAttemptAt = in.NoticeID, ActionNotify, true, now
			m.markInstanceChanged(in)
		}
	}
	before := in.Phase
	switch s.Phase {
	case PhaseStarting, PhaseReady, PhaseUnready:
		if in.NoticeID != "" { // the notice is on its way, or the instance has not taken it up
			break
		}
		in.setPhase(now, s.Phase, s.Cause)
		switch {
		case s.Phase != PhaseStarting:
			in.PhaseDeadline = 0
		case in.PhaseDeadline == 0:
			in.PhaseDeadline = now + m.readinessTimeout(in)
		}
	case PhaseUnknown:
		in.setPhase(now, PhaseUnknown, s.Cause)
		if s.Orphaned && !(in.ActionPending && in.LastAction == ActionLaunch) { // its keeper died: another takes over
			m.issueAction(now, in, ActionLaunch, "its keeper is gone")
		}
	default: // it leaves; whoever told it to, it has a time limit from here on
		in.setPhase(now, s.Phase, s.Cause)
		if in.PhaseDeadline == 0 || in.NoticeID == "" && !before.leaving() {
			in.PhaseDeadline = now + in.shutdown.ExitTimeout + m.config.KillDelay
		}
	}
	if before != in.Phase {
		m.recordEvent(now, in, string(in.Phase), s.Cause)
	}
	if t := in.Phase; t == PhaseReady && in.Attempts > 0 && now-in.ReadySince >= in.group.LaunchWindow {
		in.Attempts = 0
	}
}

// ended closes a life.
func (m *Machine) handleExit(now Micros, in *Instance, end Exit) {
	told, gaveUp := in.NoticeID != "" || in.KillAttempts > 0, in.GiveUpReason
	in.LastExit = end
	in.Incarnation, in.NoticeID, in.NotifiedAt, in.PhaseDeadline, in.ActionPending, in.KillAttempts, in.GiveUpReason = "", "", 0, 0, false, 0, ""
	in.Invocations, in.Rejected, in.Detail, in.Level = 0, 0, nil, ""
	again := in.RestartPending
	in.RestartPending = false
	switch {
	case gaveUp != "":
		in.setPhase(now, PhaseFailed, gaveUp)
		in.LaunchesExhausted = true
	case told:
		in.setPhase(now, PhaseExited, end.String())
		if again {
			in.LaunchRequested, in.NextAttemptAt, in.Attempts = true, now, 0
		}
	default:
		in.setPhase(now, PhaseFailed, end.String()+", and nobody had told it to leave")
		in.Attempts++
		in.NextAttemptAt = now + m.config.RelaunchBackoff.Pause(in.Attempts+1, m.random)
	}
	m.recordEvent(now, in, string(in.Phase), in.Cause)
	m.markInstanceChanged(in)
}

// give hands out a step; a new life begins with each launch that adopts none.
func (m *Machine) issueAction(now Micros, in *Instance, what ActionKind, cause string) {
	in.ActionCount++
	in.ActionID, in.LastAction = fmt.Sprintf("%s.%d", in.Name, in.ActionCount), what
	in.ActionPending = true
	in.NextAttemptAt = now + m.config.ResendBackoff.Pause(2, m.random)
	switch what {
	case ActionLaunch:
		if in.Incarnation == "" {
			in.Incarnation = in.ActionID
			in.Invocations, in.Rejected = 0, 0
			in.PhaseDeadline = now + m.readinessTimeout(in)
			in.setPhase(now, PhaseStarting, cause)
		}
	case ActionNotify:
		in.NoticeID, in.NotifiedAt = in.ActionID, now
		in.PhaseDeadline = now + in.shutdown.ExitTimeout + m.config.KillDelay
		in.setPhase(now, PhaseDraining, cause)
	case ActionKill:
		in.KillAttempts++
		in.PhaseDeadline = now + m.config.KillDelay*Micros(min(in.KillAttempts, 20))
	}
	m.markInstanceChanged(in)
	m.emitAction(in, cause)
	m.recordEvent(now, in, string(what), cause)
}

// emit writes the step that is in hand, for the first time or again.
func (m *Machine) emitAction(in *Instance, cause string) {
	m.actions = append(m.actions, Action{
		Kind: in.LastAction, ID: in.ActionID, Name: in.Name, Incarnation: in.Incarnation, NotifiedAt: in.NotifiedAt, Cause: cause,
		Adopt: in.LastAction == ActionLaunch && in.Incarnation != in.ActionID,
	})
}

// startWithin is how long it may take to be ready: the wave's word where one has it started, else its group's.
func (m *Machine) readinessTimeout(in *Instance) Micros {
	if c := m.commands[in.CommandID]; c != nil && c.Kind == KindRollingUpdate && c.Rollout.ReadyWithin > 0 {
		return c.Rollout.ReadyWithin
	}
	return in.group.StartWithin
}

// reconcile takes the next step from what is seen to what is wanted, if it is time for one.
func (m *Machine) reconcile(now Micros, in *Instance) {
	if in.ActionPending && now >= in.NextAttemptAt { // it was lost on the way, or the agent died with it in hand
		in.Attempts++
		in.NextAttemptAt = now + m.config.ResendBackoff.Pause(in.Attempts+2, m.random)
		m.emitAction(in, "again")
	}
	switch in.Phase {
	case PhaseAbsent, PhaseExited, PhaseFailed:
		if !in.DesiredUp || in.LaunchesExhausted || now < in.NextAttemptAt || in.Incarnation != "" {
			return
		}
		if in.LaunchBudget.MaxAttempts, in.LaunchBudget.Window = in.group.MaxLaunches, in.group.LaunchWindow; !in.LaunchRequested && !in.LaunchBudget.Take(now) {
			in.LaunchesExhausted = true
			in.setPhase(now, PhaseFailed, fmt.Sprintf("%s; launched %d times within %d s and stays down until asked for",
				in.Cause, in.LaunchBudget.MaxAttempts, in.LaunchBudget.Window/1_000_000))
			m.recordEvent(now, in, "given up", in.Cause)
			m.markInstanceChanged(in)
			return
		}
		cause := "asked for"
		if !in.LaunchRequested {
			cause = in.Cause
		}
		in.LaunchRequested = false
		m.issueAction(now, in, ActionLaunch, cause)
	case PhaseStarting, PhaseReady, PhaseUnready:
		switch {
		case in.NoticeID != "":
		case !in.DesiredUp:
			m.issueAction(now, in, ActionNotify, "asked for")
		case in.RestartPending:
			m.issueAction(now, in, ActionNotify, "to come up again")
		case in.Phase == PhaseStarting && in.PhaseDeadline != 0 && now >= in.PhaseDeadline:
			in.GiveUpReason = fmt.Sprintf("not ready within %d ms", m.readinessTimeout(in)/1000)
			m.issueAction(now, in, ActionNotify, in.GiveUpReason)
		}
	case PhaseDraining, PhaseStopping, PhaseUnresponsive:
		if in.NoticeID == "" && (!in.DesiredUp || in.RestartPending) {
			m.issueAction(now, in, ActionNotify, "asked for while it leaves by itself")
		}
	case PhaseUnknown:
		if in.NoticeID == "" && (!in.DesiredUp || in.RestartPending) { // the notice does not wait until it can be seen
			m.issueAction(now, in, ActionNotify, "asked for while it can't be seen")
			in.setPhase(now, PhaseUnknown, in.Cause)
		}
	}
	if (in.NoticeID != "" || in.Phase.leaving()) && in.PhaseDeadline != 0 && now >= in.PhaseDeadline {
		m.issueAction(now, in, ActionKill, "not gone by the end of its window")
	}
}

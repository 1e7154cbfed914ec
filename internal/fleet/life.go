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
	Absent   Phase = "absent"   // never started
	Starting Phase = "starting" // launched, not ready yet
	Ready    Phase = "ready"    // answers health checks with good
	Unready  Phase = "unready"  // was ready, and is not while nobody told it to leave
	Draining Phase = "draining" // told to leave, within its grace
	Stopping Phase = "stopping" // its grace is over, what it holds is answered
	Deaf     Phase = "deaf"     // told to leave and shows no sign of it; killed before its grace ends
	Gone     Phase = "gone"     // ended after it was told to
	Failed   Phase = "failed"   // ended by itself, could not be launched, or did not become ready
	Unknown  Phase = "unknown"  // it can't be seen; that is not gone
)

// leaves tells whether it is on its way out.
func (p Phase) leaves() bool { return p == Draining || p == Stopping || p == Deaf }

// Down tells whether no process of it is left.
func (p Phase) Down() bool { return p == Absent || p == Gone || p == Failed }

// Sight is what the keeper of an instance, or the look for one, has shown.
type Sight struct {
	Run    string `json:"run"`   // the life it is about
	Phase  Phase  `json:"phase"` // Starting, Ready, Unready, Draining, Stopping, Deaf, Gone, Unknown
	Told   string `json:"told"`  // the notice that its keeper has taken; empty: none
	Cause  string `json:"cause,omitempty"`
	Orphan bool   `json:"orphan,omitempty"` // Unknown: it lives and its keeper does not
	End    End    `json:"end"`              // Gone
	Picked int    `json:"picked"`           // invocations since its start
	Turned int    `json:"turned"`           // of them throttled or errored
	Level  string `json:"level,omitempty"`  // of reduced service
	Why    string `json:"why,omitempty"`    // its latest change
	Detail any    `json:"detail,omitempty"` // for people
}

// End is how a life ended.
type End struct {
	Code   int    `json:"code"`             // exit code; -1 if a signal ended it
	Signal string `json:"signal,omitempty"` // that ended it
	Killed string `json:"killed,omitempty"` // why it was killed, if we did it
	Unseen bool   `json:"unseen,omitempty"` // nobody was there to see the exit code
	Lived  Micros `json:"lived,omitempty"`
	After  Micros `json:"after,omitempty"` // from the notice to the end; 0: no notice
}

func (e End) String() string {
	switch {
	case e.Killed != "":
		return "killed: " + e.Killed
	case e.Signal != "":
		return "died of signal " + e.Signal
	case e.Unseen:
		return "ended, its exit code was not seen"
	}
	return "exit code " + strconv.Itoa(e.Code)
}

// unknownCount stands for a count from before a restart of the agent.
const unknownCount = -1

// Instance is all that is known of one. Fields that a restart needs are written down with it.
type Instance struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	Spare bool   `json:"spare,omitempty"`

	Up      bool   `json:"up"`                // wanted
	Recycle bool   `json:"recycle,omitempty"` // it is to leave, and to come up again
	Task    string `json:"task,omitempty"`    // the command that waits for it
	Serial  int    `json:"serial"`            // of the steps given for it
	Step    string `json:"step,omitempty"`    // the last of them
	Doing   What   `json:"doing,omitempty"`   // and what it was
	Pending bool   `json:"pending,omitempty"` // it is not known to have been taken

	Run      string `json:"run,omitempty"` // the life it is in: the step that launched it
	Told     string `json:"told,omitempty"`
	ToldAt   Micros `json:"told_at,omitempty"`
	Deadline Micros `json:"deadline,omitempty"` // of the phase; 0: none. Never 0 once it was told to leave
	GaveUp   string `json:"gave_up,omitempty"`  // why it was told to leave though it is wanted
	Spent    bool   `json:"spent,omitempty"`    // no further launch until somebody asks for one
	Free     bool   `json:"free,omitempty"`     // the next launch was asked for, and costs no attempt
	Kills    int    `json:"kills,omitempty"`    // in this life
	Last     End    `json:"last"`               // of the life before
	Budget   Budget `json:"budget"`             // launches by itself
	Unit     Unit   `json:"unit,omitzero"`      // of the fleet's count of what is out
	Turns    int    `json:"turns,omitempty"`    // of asking for one
	Tries    int    `json:"tries,omitempty"`    // of the step, or of launches in a row
	Next     Micros `json:"next,omitempty"`     // no try before

	Phase  Phase  `json:"phase"`
	Since  Micros `json:"since"`
	Cause  string `json:"cause,omitempty"`
	Steady Micros `json:"steady,omitempty"` // ready since; 0: not ready
	Picked int    `json:"picked,omitempty"`
	Turned int    `json:"turned,omitempty"`
	Level  string `json:"level,omitempty"` // of reduced service, as it was last seen
	Detail any    `json:"-"`

	spec   *GroupSpec
	window Window
	place  int
}

// Window is what an instance has from the notice on, by its configuration.
type Window struct {
	Grace Micros // what arrives later does not run
	Stop  Micros // it has ended by then
}

// What is a step.
type What string

// The steps.
const (
	Launch What = "launch" // start a keeper with the instance, or a keeper alone where Adopt is set
	Tell   What = "tell"   // the notice to leave
	Kill   What = "kill"   // end it at once
)

// Step is to be taken by the agent once it is written down. The same ID may come again: it is one step.
type Step struct {
	What  What   `json:"what"`
	ID    string `json:"id"`
	Name  string `json:"name"`
	Run   string `json:"run"`
	Adopt bool   `json:"adopt,omitempty"`
	Told  Micros `json:"told,omitempty"` // Tell: when it was first told; its window runs from there
	Cause string `json:"cause,omitempty"`
	Unit  Unit   // of a step about one
	End   coldstart.End
}

// Note is a line of history.
type Note struct {
	At      Micros `json:"at"`
	Name    string `json:"name,omitempty"`
	Command string `json:"command,omitempty"`
	Event   string `json:"event"`
	Cause   string `json:"cause,omitempty"`
}

func (in *Instance) enter(now Micros, p Phase, cause string) {
	if in.Phase != p {
		in.Phase, in.Since = p, now
	}
	in.Cause = cause
	if p != Ready {
		in.Steady = 0
	} else if in.Steady == 0 {
		in.Steady = now
	}
}

// Settled tells whether it has been ready for long enough to be counted on.
func (in *Instance) Settled(now Micros) bool {
	return in.Phase == Ready && now-in.Steady >= in.spec.Settle
}

// usable tells whether a wave may count on it.
func (in *Instance) usable(now Micros) bool {
	return in.Up && !in.Recycle && in.Told == "" && in.Settled(now)
}

// seen takes in a sight and tells whether the life has ended with it. Those of other lives say nothing.
func (m *Machine) seen(now Micros, in *Instance, s Sight) {
	if in.Run == "" || s.Run != in.Run {
		return
	}
	if s.Phase == Gone {
		m.ended(now, in, s.End)
		return
	}
	in.Detail = s.Detail
	if in.Picked != unknownCount && s.Picked >= in.Picked && s.Turned >= in.Turned && s.Phase != Unknown {
		m.service.add(now, s.Picked-in.Picked, s.Turned-in.Turned)
	}
	if s.Phase != Unknown {
		in.Picked, in.Turned = s.Picked, s.Turned
	}
	if s.Level != "" && s.Level != in.Level { // so that the history has it after the instance's own death
		if in.Level != "" || s.Level != "full" {
			m.note(now, in, "level "+s.Level, s.Why)
		}
		in.Level = s.Level
		m.touch(in)
	}
	if s.Phase != Unknown { // then its keeper is there, and says which steps it has taken
		if in.Pending && (in.Doing == Launch || in.Doing == Tell && s.Told == in.Told) {
			in.Pending, in.Tries = false, 0
			m.touch(in)
		}
		if in.Told != "" && s.Told != in.Told && in.Kills == 0 && !in.Pending { // a new keeper that has not heard of it
			in.Step, in.Doing, in.Pending, in.Next = in.Told, Tell, true, now
			m.touch(in)
		}
	}
	before := in.Phase
	switch s.Phase {
	case Starting, Ready, Unready:
		if in.Told != "" { // the notice is on its way, or the instance has not taken it up
			break
		}
		in.enter(now, s.Phase, s.Cause)
		switch {
		case s.Phase != Starting:
			in.Deadline = 0
		case in.Deadline == 0:
			in.Deadline = now + m.startWithin(in)
		}
	case Unknown:
		in.enter(now, Unknown, s.Cause)
		if s.Orphan && !(in.Pending && in.Doing == Launch) { // its keeper died: another takes over
			m.give(now, in, Launch, "its keeper is gone")
		}
	default: // it leaves; whoever told it to, it has a time limit from here on
		in.enter(now, s.Phase, s.Cause)
		if in.Deadline == 0 || in.Told == "" && !before.leaves() {
			in.Deadline = now + in.window.Stop + m.terms.Slack
		}
	}
	if before != in.Phase {
		m.note(now, in, string(in.Phase), s.Cause)
	}
	if t := in.Phase; t == Ready && in.Tries > 0 && now-in.Steady >= in.spec.Within {
		in.Tries = 0
	}
}

// ended closes a life.
func (m *Machine) ended(now Micros, in *Instance, end End) {
	told, gaveUp := in.Told != "" || in.Kills > 0, in.GaveUp
	in.Last = end
	in.Run, in.Told, in.ToldAt, in.Deadline, in.Pending, in.Kills, in.GaveUp = "", "", 0, 0, false, 0, ""
	in.Picked, in.Turned, in.Detail, in.Level = 0, 0, nil, ""
	again := in.Recycle
	in.Recycle = false
	switch {
	case gaveUp != "":
		in.enter(now, Failed, gaveUp)
		in.Spent = true
	case told:
		in.enter(now, Gone, end.String())
		if again {
			in.Free, in.Next, in.Tries = true, now, 0
		}
	default:
		in.enter(now, Failed, end.String()+", and nobody had told it to leave")
		in.Tries++
		in.Next = now + m.terms.Relaunch.Pause(in.Tries+1, m.draw)
	}
	m.note(now, in, string(in.Phase), in.Cause)
	m.touch(in)
}

// give hands out a step; a new life begins with each launch that adopts none.
func (m *Machine) give(now Micros, in *Instance, what What, cause string) {
	in.Serial++
	in.Step, in.Doing = fmt.Sprintf("%s.%d", in.Name, in.Serial), what
	in.Pending = true
	in.Next = now + m.terms.Again.Pause(2, m.draw)
	switch what {
	case Launch:
		if in.Run == "" {
			in.Run = in.Step
			in.Picked, in.Turned = 0, 0
			in.Deadline = now + m.startWithin(in)
			in.enter(now, Starting, cause)
		}
	case Tell:
		in.Told, in.ToldAt = in.Step, now
		in.Deadline = now + in.window.Stop + m.terms.Slack
		in.enter(now, Draining, cause)
	case Kill:
		in.Kills++
		in.Deadline = now + m.terms.Slack*Micros(min(in.Kills, 20))
	}
	m.touch(in)
	m.emit(in, cause)
	m.note(now, in, string(what), cause)
}

// emit writes the step that is in hand, for the first time or again.
func (m *Machine) emit(in *Instance, cause string) {
	m.steps = append(m.steps, Step{
		What: in.Doing, ID: in.Step, Name: in.Name, Run: in.Run, Told: in.ToldAt, Cause: cause,
		Adopt: in.Doing == Launch && in.Run != in.Step,
	})
}

// startWithin is how long it may take to be ready: the wave's word where one has it started, else its group's.
func (m *Machine) startWithin(in *Instance) Micros {
	if c := m.commands[in.Task]; c != nil && c.Kind == Wave && c.Terms.ReadyWithin > 0 {
		return c.Terms.ReadyWithin
	}
	return in.spec.StartWithin
}

// reconcile takes the next step from what is seen to what is wanted, if it is time for one.
func (m *Machine) reconcile(now Micros, in *Instance) {
	if in.Pending && now >= in.Next { // it was lost on the way, or the agent died with it in hand
		in.Tries++
		in.Next = now + m.terms.Again.Pause(in.Tries+2, m.draw)
		m.emit(in, "again")
	}
	switch in.Phase {
	case Absent, Gone, Failed:
		if !in.Up || in.Spent || now < in.Next || in.Run != "" {
			return
		}
		if in.Budget.Most, in.Budget.Within = in.spec.Launches, in.spec.Within; !in.Free && !in.Budget.Take(now) {
			in.Spent = true
			in.enter(now, Failed, fmt.Sprintf("%s; launched %d times within %d s and stays down until asked for",
				in.Cause, in.Budget.Most, in.Budget.Within/1_000_000))
			m.note(now, in, "given up", in.Cause)
			m.touch(in)
			return
		}
		cause := "asked for"
		if !in.Free {
			cause = in.Cause
		}
		in.Free = false
		m.give(now, in, Launch, cause)
	case Starting, Ready, Unready:
		switch {
		case in.Told != "":
		case !in.Up:
			m.give(now, in, Tell, "asked for")
		case in.Recycle:
			m.give(now, in, Tell, "to come up again")
		case in.Phase == Starting && in.Deadline != 0 && now >= in.Deadline:
			in.GaveUp = fmt.Sprintf("not ready within %d ms", m.startWithin(in)/1000)
			m.give(now, in, Tell, in.GaveUp)
		}
	case Draining, Stopping, Deaf:
		if in.Told == "" && (!in.Up || in.Recycle) {
			m.give(now, in, Tell, "asked for while it leaves by itself")
		}
	case Unknown:
		if in.Told == "" && (!in.Up || in.Recycle) { // the notice does not wait until it can be seen
			m.give(now, in, Tell, "asked for while it can't be seen")
			in.enter(now, Unknown, in.Cause)
		}
	}
	if (in.Told != "" || in.Phase.leaves()) && in.Deadline != 0 && now >= in.Deadline {
		m.give(now, in, Kill, "not gone by the end of its window")
	}
}

package schedule

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of a fault, written as its word in a schedule's file.
type Kind string

// Kinds of faults on the link from one host to another.
const (
	Cut       Kind = "cut"      // holds all bytes for Duration, then breaks the connections that were open
	CutBoth   Kind = "cut-both" // is Cut in both directions
	Delay     Kind = "delay"    // delivers bytes later by Offset for Duration
	Stall     Kind = "stall"    // holds bytes for Duration, then delivers them
	Slow      Kind = "slow"     // limits the link to Value bytes per second for Duration
	Reset     Kind = "reset"    // breaks every connection at once
	Duplicate Kind = "twice"    // repeats calls after Offset for Duration
)

// Kinds of faults of agents and hosts.
const (
	KillAgent  Kind = "kill"     // sends SIGKILL and restarts the agent after Duration
	StopAgent  Kind = "stop"     // sends SIGSTOP for Duration
	KillLeader Kind = "leader"   // is KillAgent for the leader
	Blackout   Kind = "blackout" // is KillAgent for all agents
	FullDisk   Kind = "full"     // prevents the growth of an agent's files for Duration
	StaleStore Kind = "old"      // kills an agent and restarts it with an earlier copy of its quota store
	CrashPoint Kind = "point"    // ends an agent at a failpoint, if it was built with failpoints
	Minority   Kind = "minority" // isolates a host and the next one from all others for Duration
)

// Kinds of faults of backends and quotas.
const (
	StopBackend    Kind = "freeze"    // sends SIGSTOP for Duration
	KillBackend    Kind = "death"     // sends SIGKILL
	KillSupervisor Kind = "orphan"    // sends SIGKILL to a backend's supervisor
	BadStart       Kind = "bad-start" // sends SIGKILL and makes the backend's configuration unreadable for Duration
	ChangeTotal    Kind = "whole"     // sets the total of a quota to Value in the files of all hosts
)

// Kinds returns the kinds that every drawn schedule contains, in the order of drawing: all but CrashPoint.
func Kinds() []Kind {
	return []Kind{
		Cut,
		CutBoth,
		Delay,
		Stall,
		Slow,
		Reset,
		Duplicate,
		KillAgent,
		StopAgent,
		KillLeader,
		Blackout,
		FullDisk,
		StaleStore,
		StopBackend,
		KillBackend,
		KillSupervisor,
		BadStart,
		ChangeTotal,
		Minority,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	At       time.Duration // since the trial began
	Duration time.Duration // 0: the fault has no duration
	Kind     Kind
	Target   string        // host or backend, by kind; empty: the kind has none
	Peer     string        // the host at the other end of a link; empty: the kind has none
	Offset   time.Duration // delay of Delay and Duplicate; 0: none
	Value    int           // bytes per second of Slow, or the new total of ChangeTotal; 0: none
	Name     string        // quota of ChangeTotal, or failpoint of CrashPoint; empty: the kind has none
}

// String returns the fault's form in a schedule's file.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "(%s (at %v)", f.Kind, f.At)
	for _, name := range []string{f.Target, f.Peer, f.Name} {
		if name != "" {
			fmt.Fprintf(&b, " (on %s)", name)
		}
	}
	if f.Duration > 0 {
		fmt.Fprintf(&b, " (for %v)", f.Duration)
	}
	if f.Offset > 0 {
		fmt.Fprintf(&b, " (by %v)", f.Offset)
	}
	if f.Value > 0 {
		fmt.Fprintf(&b, " (to %d)", f.Value)
	}
	return b.String() + ")"
}

// target is the type of a name in a fault's form, as printed in error texts.
type target string

const (
	hostTarget    target = "host"
	backendTarget target = "backend"
	nameTarget    target = "word" // a quota or a failpoint
)

// Prefixes of numbered names.
const (
	hostPrefix    string = "h"
	backendPrefix string = "n"
)

// numberedName returns the name of a host or backend.
func numberedName(prefix string, number int) string { return fmt.Sprint(prefix, number) }

// withTargets returns the fault with its targets set to the names, one for each target of its kind.
func (f Fault) withTargets(names []string) Fault {
	for i, target := range f.Kind.targets() {
		switch {
		case target == nameTarget:
			f.Name = names[i]
		case i == 0:
			f.Target = names[i]
		default:
			f.Peer = names[i]
		}
	}
	return f
}

// targets returns the types of the names that a fault of the kind has, in the order of its form.
func (k Kind) targets() []target {
	switch k {
	case Cut, CutBoth, Delay, Stall, Slow, Reset, Duplicate:
		return []target{hostTarget, hostTarget}
	case KillAgent, StopAgent, FullDisk, StaleStore, Minority:
		return []target{hostTarget}
	case StopBackend, KillBackend, KillSupervisor, BadStart:
		return []target{backendTarget}
	case ChangeTotal:
		return []target{nameTarget}
	case CrashPoint:
		return []target{hostTarget, nameTarget}
	case KillLeader, Blackout:
		return nil
	}
	return nil
}

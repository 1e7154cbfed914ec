package schedule

import (
	"fmt"
	"strings"
	"time"
)

// Kind of a fault: its word in a schedule's file.
type Kind string

// The kinds. Those of a link name two hosts, the others a host, a backend or nobody. "For a while" is the fault's
// Duration.
const (
	Cut            Kind = "cut"       // all bytes from one host to the other are held for a while; what was open is broken after it
	CutBoth        Kind = "cut-both"  // in both directions
	Delay          Kind = "delay"     // bytes from one host to the other arrive later by Offset
	Stall          Kind = "stall"     // bytes are held for a while, then delivered
	Slow           Kind = "slow"      // Value bytes a second
	Reset          Kind = "reset"     // every connection between them, now
	Duplicate      Kind = "twice"     // calls from one to the other come again, later by Offset
	KillAgent      Kind = "kill"      // SIGKILL, started again after a while
	StopAgent      Kind = "stop"      // SIGSTOP for a while
	KillLeader     Kind = "leader"    // SIGKILL to whichever agent leads, started again after a while
	Blackout       Kind = "blackout"  // SIGKILL to all agents, started again after a while
	FullDisk       Kind = "full"      // an agent's files can't grow for a while
	StaleStore     Kind = "old"       // an agent is killed and comes back on an earlier copy of its quota store
	StopBackend    Kind = "freeze"    // SIGSTOP for a while
	KillBackend    Kind = "death"     // SIGKILL
	KillSupervisor Kind = "orphan"    // SIGKILL to a backend's supervisor
	BadStart       Kind = "bad-start" // SIGKILL to a backend whose configuration can't be read for a while
	ChangeTotal    Kind = "whole"     // the total of a quota becomes Value, in the file of every host
	CrashPoint     Kind = "point"     // an agent dies at a point of its program, where it was built with failpoints
	Minority       Kind = "minority"  // a host and the next are cut off from all others
)

// Kinds are those that every drawn schedule has at least once, in that order: all but CrashPoint.
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

// Fault is one of them.
type Fault struct {
	At       time.Duration // since the trial began
	Duration time.Duration
	Kind     Kind
	Target   string        // a host or a backend, as the kind has it
	Peer     string        // of a link: the other host
	Offset   time.Duration // Delay, Duplicate
	Value    int           // Slow: bytes a second; ChangeTotal: the new total
	Name     string        // ChangeTotal: the quota; CrashPoint: the point
}

// String is the fault's form in a schedule's file.
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

// target is what a name in a fault's form stands for: the word of error texts.
type target string

const (
	hostTarget    target = "host"
	backendTarget target = "backend"
	nameTarget    target = "word" // of a quota or a crash point
)

// targets are the names that a fault of the kind has in its form, in that order.
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
	}
	return nil
}

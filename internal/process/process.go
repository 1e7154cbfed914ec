// Package process identifies processes by their pid and start time, so that a reused pid is never mistaken for the process that
// had it before, and never signalled. It also reads the clock that all processes of one machine share across their restarts.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"milletbarrow/monotime"

	"golang.org/x/sys/unix"
)

// ErrGone means that the process has ended, or that its pid now belongs to another one.
var ErrGone = errors.New("the process is gone")

// Identity identifies one process until the machine restarts.
type Identity struct {
	PID   int    `json:"pid"`
	Start uint64 `json:"start"` // start time in clock ticks since boot, field 22 of /proc/PID/stat
}

// Zero reports whether it identifies no process.
func (id Identity) Zero() bool { return id.PID == 0 }

func (id Identity) String() string { return fmt.Sprintf("%d@%d", id.PID, id.Start) }

// Of returns the identity of the process that has the pid now; ErrGone if there is none, or it is a zombie.
func Of(pid int) (Identity, error) {
	s, err := readStat(pid)
	if err != nil {
		return Identity{}, err
	}
	return Identity{pid, s.start}, nil
}

// processStat is what is used of /proc/PID/stat.
type processStat struct {
	start uint64
	state byte
	ticks uint64 // of processor time, user and system
}

// readStat parses /proc/PID/stat, whose second field, the name, may contain anything, brackets too.
func readStat(pid int) (s processStat, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, ErrGone
	}
	nameEnd := bytes.LastIndexByte(text, ')')
	fields := strings.Fields(string(text[nameEnd+1:]))
	if nameEnd < 0 || len(fields) < 20 {
		return s, fmt.Errorf("/proc/%d/stat: %d fields", pid, len(fields))
	}
	if s.state = fields[0][0]; s.state == 'Z' || s.state == 'X' {
		return s, ErrGone
	}
	s.start, err = strconv.ParseUint(fields[19], 10, 64)
	user, _ := strconv.ParseUint(fields[11], 10, 64)
	system, _ := strconv.ParseUint(fields[12], 10, 64)
	s.ticks = user + system
	return s, err
}

// Alive reports whether the process still runs; a stopped one does, a zombie does not.
func (id Identity) Alive() bool {
	s, err := readStat(id.PID)
	return !id.Zero() && err == nil && s.start == id.Start
}

// Signal sends a signal to the process and to no other: the pidfd refers to one process, and the start time is checked after it
// was opened. ErrGone if the process has ended.
func (id Identity) Signal(sig syscall.Signal) error {
	if id.PID <= 1 {
		return ErrGone
	}
	fd, err := unix.PidfdOpen(id.PID, 0)
	if errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EPERM) { // an old kernel: the check alone
		if !id.Alive() {
			return ErrGone
		}
		return syscall.Kill(id.PID, sig)
	}
	if err != nil {
		return ErrGone
	}
	defer func() { _ = unix.Close(fd) }()
	if !id.Alive() {
		return ErrGone
	}
	if err := unix.PidfdSendSignal(fd, sig, nil, 0); err != nil {
		return fmt.Errorf("signal %v to %v: %w", sig, id, err)
	}
	return nil
}

// KillGroup kills the process and the process group that it leads; a group's id is not reused while it has a member. ErrGone if
// the leader has ended: then the group of that id may be another one.
func (id Identity) KillGroup() error {
	if id.PID <= 1 || !id.Alive() {
		return ErrGone
	}
	if err := syscall.Kill(-id.PID, syscall.SIGKILL); err != nil {
		return id.Signal(syscall.SIGKILL)
	}
	return nil
}

// CPU returns the CPU time that the process has used, in microseconds; 0 once it has ended.
func (id Identity) CPU() int64 {
	s, err := readStat(id.PID)
	if err != nil || s.start != id.Start {
		return 0
	}
	return int64(s.ticks) * 10_000 // USER_HZ is 100 on Linux
}

// ResidentKB returns its resident memory in KB; 0 once it has ended.
func (id Identity) ResidentKB() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id.PID))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 || !id.Alive() {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) / 1024
}

// Now returns the time since the machine was booted, in microseconds, including suspension. Setting the wall clock does not change
// it, and all processes of the machine read the same.
func Now() monotime.Micros {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // on every Linux since 2.6.39
	}
	return monotime.FromDuration(time.Duration(t.Nano()))
}

// Boot returns the id of this boot of the machine: times of Now, pids and identities of another boot are not valid in it.
var Boot = sync.OnceValue(func() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(raw))
})

// Package process identifies processes by their pid and start time, so that a process with a reused pid is neither
// mistaken for the former one nor signalled. It also reads the clock that all processes of a machine share and that
// continues across their restarts.
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

	"golang.org/x/sys/unix"

	"milletbarrow/monotime"
)

// ErrGone means that the process has ended, or that its pid now belongs to another one.
var ErrGone = errors.New("the process is gone")

// Identity identifies one process until the machine is rebooted.
type Identity struct {
	PID   int    `json:"pid"`   // 0: no process
	Start uint64 `json:"start"` // start time in clock ticks since boot
}

// Zero reports whether the identity is empty, that is, of no process.
func (id Identity) Zero() bool { return id.PID == 0 }

// String returns PID@START.
func (id Identity) String() string { return fmt.Sprintf("%d@%d", id.PID, id.Start) }

// Of returns the identity of the process that currently has the pid, or ErrGone if there is none or it is a zombie.
func Of(pid int) (Identity, error) {
	s, err := readStat(pid)
	if err != nil {
		return Identity{}, err
	}
	return Identity{PID: pid, Start: s.start}, nil
}

// Indexes of the fields of /proc/PID/stat after the name. proc_pid_stat(5) numbers them from 3.
const (
	stateField      = 0
	userTimeField   = 11
	systemTimeField = 12
	startTimeField  = 19
	fieldsNeeded    = 20
)

// States of a process in /proc/PID/stat.
const (
	zombieState = 'Z'
	deadState   = 'X'
)

// processStat has those fields of /proc/PID/stat that this package uses.
type processStat struct {
	start uint64 // start time in clock ticks since boot
	ticks uint64 // CPU time in clock ticks, user and system
}

// readStat reads /proc/PID/stat. It returns ErrGone if the process has ended.
func readStat(pid int) (processStat, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return processStat{}, ErrGone
	}
	nameEnd := bytes.LastIndexByte(text, ')') // the name, the second field, may contain any character
	fields := strings.Fields(string(text[nameEnd+1:]))
	if nameEnd < 0 || len(fields) < fieldsNeeded {
		return processStat{}, fmt.Errorf("%s: %d fields after the name, expected %d", path, len(fields), fieldsNeeded)
	}
	if state := fields[stateField][0]; state == zombieState || state == deadState {
		return processStat{}, ErrGone
	}
	start, err := strconv.ParseUint(fields[startTimeField], 10, 64)
	if err != nil {
		return processStat{}, fmt.Errorf("%s: start time: %w", path, err)
	}
	user, _ := strconv.ParseUint(fields[userTimeField], 10, 64) // 0 if the format is unknown
	system, _ := strconv.ParseUint(fields[systemTimeField], 10, 64)
	return processStat{start: start, ticks: user + system}, nil
}

// Alive reports whether the process exists. It is true for a stopped process and false for a zombie.
func (id Identity) Alive() bool {
	s, err := readStat(id.PID)
	return !id.Zero() && err == nil && s.start == id.Start
}

// Signal sends a signal to the process and to no other: a pidfd refers to one process, whose start time is checked
// after the pidfd is opened. It returns ErrGone if the process has ended.
func (id Identity) Signal(sig syscall.Signal) error {
	if id.PID <= 1 {
		return ErrGone
	}
	fd, err := unix.PidfdOpen(id.PID, 0)
	if errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EPERM) { // old kernel: checks the start time only
		if !id.Alive() {
			return ErrGone
		}
		return syscall.Kill(id.PID, sig)
	}
	if err != nil {
		return ErrGone
	}
	defer func() { _ = unix.Close(fd) }() // nothing was written
	if !id.Alive() {
		return ErrGone
	}
	if err := unix.PidfdSendSignal(fd, sig, nil, 0); err != nil {
		return fmt.Errorf("signal %v to %v: %w", sig, id, err)
	}
	return nil
}

// KillGroup kills the process and the process group that it leads. It returns ErrGone if the process has ended, as the
// group's id may then be reused; the kernel does not reuse it while the group has a member.
func (id Identity) KillGroup() error {
	if id.PID <= 1 || !id.Alive() {
		return ErrGone
	}
	if err := syscall.Kill(-id.PID, syscall.SIGKILL); err != nil {
		return id.Signal(syscall.SIGKILL)
	}
	return nil
}

// microsPerTick is the length of a clock tick of /proc in microseconds: USER_HZ is 100 on Linux.
const microsPerTick = 10_000

// CPU returns the CPU time that the process has used, in microseconds; 0 after its end.
func (id Identity) CPU() int64 {
	s, err := readStat(id.PID)
	if err != nil || s.start != id.Start {
		return 0
	}
	return int64(s.ticks) * microsPerTick
}

// ResidentKB returns the resident memory of the process in KB; 0 after its end.
func (id Identity) ResidentKB() int64 {
	const (
		residentField = 1 // of /proc/PID/statm, in pages
		bytesPerKB    = 1024
	)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id.PID))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) <= residentField || !id.Alive() {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()) / bytesPerKB
}

// Now returns the time since the boot of the machine, including suspension. It does not depend on the wall clock,
// and is the same for all processes of the machine.
func Now() monotime.Micros {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return monotime.FromDuration(time.Duration(t.Nano()))
}

// Boot returns the id of the machine's current boot. Times of Now and identities are valid in one boot only.
var Boot = sync.OnceValue(func() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(raw))
})

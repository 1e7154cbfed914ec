// Package process says which process is meant, and signals no other: an identity is a pid with the time its
// process started, so that a pid that was given away again is never signalled. It also has the clock that
// processes of one machine share across their restarts. It decides nothing.
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

	"golang.org/x/sys/unix"
)

// ErrGone means that the process has ended, or its pid is another's by now.
var ErrGone = errors.New("the process is gone")

// Identity names one process for as long as the machine is up.
type Identity struct {
	PID   int    `json:"pid"`
	Start uint64 `json:"start"` // clock ticks from the machine's start to the process's, /proc/PID/stat field 22
}

// Zero tells whether it names no process.
func (id Identity) Zero() bool { return id.PID == 0 }

func (id Identity) String() string { return fmt.Sprintf("%d@%d", id.PID, id.Start) }

// Of names the process that has the pid now; ErrGone if none has, or it is a zombie.
func Of(pid int) (Identity, error) {
	s, err := read(pid)
	if err != nil {
		return Identity{}, err
	}
	return Identity{pid, s.start}, nil
}

type stat struct {
	start uint64
	state byte
	ticks uint64 // of processor time, user and system
}

// read takes apart /proc/PID/stat, whose second field may hold anything, brackets too.
func read(pid int) (s stat, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, ErrGone
	}
	at := bytes.LastIndexByte(raw, ')')
	f := strings.Fields(string(raw[at+1:]))
	if at < 0 || len(f) < 20 {
		return s, fmt.Errorf("/proc/%d/stat: %d fields", pid, len(f))
	}
	if s.state = f[0][0]; s.state == 'Z' || s.state == 'X' {
		return s, ErrGone
	}
	s.start, err = strconv.ParseUint(f[19], 10, 64)
	user, _ := strconv.ParseUint(f[11], 10, 64)
	system, _ := strconv.ParseUint(f[12], 10, 64)
	s.ticks = user + system
	return s, err
}

// Alive tells whether that very process still runs (a stopped one does).
func (id Identity) Alive() bool {
	s, err := read(id.PID)
	return !id.Zero() && err == nil && s.start == id.Start
}

// Signal sends to that process and no other: the pidfd holds on to a process, and the look at its start time
// comes after the pidfd was opened. ErrGone if it has ended.
func (id Identity) Signal(sig syscall.Signal) error {
	if id.PID <= 1 {
		return ErrGone
	}
	fd, err := unix.PidfdOpen(id.PID, 0)
	if errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EPERM) { // an old kernel: the look alone
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

// KillGroup ends the process and all of its group, which it leads; a group can't be given away while any of it
// lives. ErrGone if the leader has ended and been reaped: then nobody can tell whose group it is.
func (id Identity) KillGroup() error {
	if id.PID <= 1 || !id.Alive() {
		return ErrGone
	}
	if err := syscall.Kill(-id.PID, syscall.SIGKILL); err != nil {
		return id.Signal(syscall.SIGKILL)
	}
	return nil
}

// CPU is the processor time that the process has used, in microseconds; 0 once it is gone.
func (id Identity) CPU() int64 {
	s, err := read(id.PID)
	if err != nil || s.start != id.Start {
		return 0
	}
	return int64(s.ticks) * 10_000 // USER_HZ is 100 on Linux
}

// ResidentKB is its resident memory; 0 once it is gone.
func (id Identity) ResidentKB() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id.PID))
	f := strings.Fields(string(raw))
	if err != nil || len(f) < 2 || !id.Alive() {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize()) / 1024
}

// Now is the time since the machine started, in microseconds, sleep included. Setting the wall clock does not
// move it, and all processes of the machine read the same.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // on every Linux since 2.6.39
	}
	return t.Nano() / 1000
}

// Boot names this run of the machine: times of Now, pids and identities from another one mean nothing.
var Boot = sync.OnceValue(func() string {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(raw))
})

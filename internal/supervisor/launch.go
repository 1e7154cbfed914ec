package supervisor

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
)

// launchDescriptor is the file descriptor on which a launcher waits for its byte.
const launchDescriptor = 3

// launch runs the instance as the leader of a process group of its own: the notice goes to it alone, a kill to the
// group. How it ended is sent to exited, which holds one.
func (s *supervisor) launch(exited chan<- fleet.Exit) error {
	log, err := os.OpenFile(s.paths.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the instance has a descriptor of its own
	waiting, release, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = waiting.Close() }()
	defer func() { _ = release.Close() }() // a launcher that got no byte ends by it
	cmd := s.launcherCommand(log, waiting)
	if err := cmd.Start(); err != nil {
		return err
	}
	instance, err := process.Of(cmd.Process.Pid)
	if err != nil { // it has ended already; its exit code tells
		instance = process.Identity{PID: cmd.Process.Pid}
	}
	s.mu.Lock()
	s.record.Instance = instance
	err = s.record.write(s.paths.State)
	s.mu.Unlock()
	if err != nil { // without the record nobody could take the instance over
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		_ = cmd.Wait() // it was killed just now
		return err
	}
	if _, err := release.Write([]byte{1}); err != nil {
		slog.Error("begin", "name", s.options.Name, "error", err.Error())
	}
	slog.Info("launched", "name", s.options.Name, "run", s.options.Incarnation, "pid", instance.PID)
	go func() { exited <- awaitChild(cmd) }()
	return nil
}

// launcherCommand is the command of the launcher, which becomes the instance.
func (s *supervisor) launcherCommand(log, waiting *os.File) *exec.Cmd {
	o := s.options
	args := slices.Concat(o.Launcher[1:], o.Command, []string{"--inspect", s.paths.Admin})
	cmd := exec.Command(o.Launcher[0], args...)
	cmd.ExtraFiles = []*os.File{waiting} // becomes launchDescriptor
	cmd.Env = append(os.Environ(), o.Env...)
	cmd.Stdout, cmd.Stderr = log, log // a file, not a pipe: it needs no reader, and outlives this process
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

// awaitChild waits for a child's exit and kills what is left of its group.
func awaitChild(cmd *exec.Cmd) fleet.Exit {
	pid := cmd.Process.Pid
	// The group is killed before its leader is reaped: as long as that is a zombie its number is nobody else's.
	if err := unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil); err != nil {
		slog.Error("wait", "pid", pid, "error", err.Error())
	}
	_ = syscall.Kill(-pid, syscall.SIGKILL) // mostly there is nobody left
	_ = cmd.Wait()                          // ProcessState has the exit code
	end := fleet.Exit{Code: cmd.ProcessState.ExitCode()}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		end.Signal = status.Signal().String()
	}
	return end
}

// awaitAdopted waits for the end of an instance that is not this process's child; nobody sees its exit code.
func (s *supervisor) awaitAdopted(instance process.Identity) fleet.Exit {
	for instance.Alive() {
		fd, err := unix.PidfdOpen(instance.PID, 0)
		if err != nil {
			time.Sleep(s.options.Bounds.PollInterval)
			continue
		}
		timeout := int(s.options.Bounds.IdlePollInterval.Milliseconds())
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, timeout) // Alive decides
		_ = unix.Close(fd)
	}
	return fleet.Exit{Unobserved: true}
}

// WaitAndExec becomes the command once the supervisor has recorded which process it is, and returns ErrSupervisorGone if
// the supervisor dies before that: no instance runs without a record of it.
func WaitAndExec(command []string) error {
	if len(command) == 0 {
		return ErrNoCommand
	}
	release := os.NewFile(launchDescriptor, "release")
	if n, err := release.Read(make([]byte, 1)); n != 1 {
		return fmt.Errorf("%w: %w", ErrSupervisorGone, err)
	}
	_ = release.Close() // nothing more comes
	path, err := exec.LookPath(command[0])
	if err != nil {
		return err
	}
	return syscall.Exec(path, command, os.Environ())
}

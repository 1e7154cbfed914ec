package supervisor

import (
	"context"
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

// launch starts the instance as the leader of its own process group: the notice goes to the leader alone, a kill to the
// group. It records the process before the instance begins. The exit is sent to exited, which has room for one.
func (s *supervisor) launch(ctx context.Context, exited chan<- fleet.Exit) error {
	log, err := os.OpenFile(s.paths.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the instance has its own descriptor
	waiting, release, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = waiting.Close() }()
	defer func() { _ = release.Close() }() // without the byte, the launcher ends at this

	ctx = context.WithoutCancel(ctx) // the instance drains after the end of ctx
	cmd := s.launcherCommand(ctx, log, waiting)
	if err := cmd.Start(); err != nil {
		return err
	}
	instance, err := process.Of(cmd.Process.Pid)
	if err != nil { // it has ended already; awaitChild reads its exit code
		instance = process.Identity{PID: cmd.Process.Pid}
	}
	if err := s.recordInstance(instance); err != nil { // without the record no supervisor could adopt the instance
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		_ = cmd.Wait() // it was killed
		return err
	}

	if _, err := release.Write([]byte{1}); err != nil {
		slog.Error("begin", "name", s.options.Name, "error", err.Error())
	}
	slog.Info("launched", "name", s.options.Name, "run", s.options.Incarnation, "pid", instance.PID)
	go func() { exited <- awaitChild(cmd) }()
	return nil
}

// recordInstance writes the process of the instance to the state file.
func (s *supervisor) recordInstance(instance process.Identity) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Instance = instance
	return s.record.write(s.paths.State)
}

// launcherCommand returns the command of the launcher, which becomes the instance.
func (s *supervisor) launcherCommand(ctx context.Context, log, waiting *os.File) *exec.Cmd {
	o := s.options
	args := slices.Concat(o.Launcher[1:], o.Command, []string{"--inspect", s.paths.Admin})
	cmd := exec.CommandContext(ctx, o.Launcher[0], args...)
	cmd.ExtraFiles = []*os.File{waiting} // becomes launchDescriptor
	cmd.Env = append(os.Environ(), o.Env...)
	cmd.Stdout = log // a file, not a pipe: it needs no reader and outlives this process
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

// awaitChild waits for a child's exit and kills the rest of its process group.
func awaitChild(cmd *exec.Cmd) fleet.Exit {
	pid := cmd.Process.Pid
	// The group is killed before its leader is reaped: as long as that is a zombie, its pid is not reused.
	if err := unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil); err != nil {
		slog.Error("wait", "pid", pid, "error", err.Error())
	}
	_ = syscall.Kill(-pid, syscall.SIGKILL) // fails if the group has no other process
	_ = cmd.Wait()                          // ProcessState has the exit code
	exit := fleet.Exit{Code: cmd.ProcessState.ExitCode()}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		exit.Signal = status.Signal().String()
	}
	return exit
}

// awaitAdopted waits for the exit of an instance that is not this process's child, so that its exit code is not known.
func (s *supervisor) awaitAdopted(instance process.Identity) fleet.Exit {
	for instance.Alive() {
		fd, err := unix.PidfdOpen(instance.PID, 0)
		if err != nil {
			time.Sleep(s.options.Bounds.PollInterval)
			continue
		}
		timeout := int(s.options.Bounds.IdlePollInterval.Milliseconds())
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, timeout) // the loop asks Alive again
		_ = unix.Close(fd)
	}
	return fleet.Exit{Unobserved: true}
}

// WaitAndExec replaces this process by the command once the supervisor has recorded the process. It returns
// ErrSupervisorGone if the supervisor dies before that, so that no instance runs without a record.
func WaitAndExec(command []string) error {
	if len(command) == 0 {
		return ErrNoCommand
	}
	release := os.NewFile(launchDescriptor, "release")
	if n, err := release.Read(make([]byte, 1)); n != 1 {
		return fmt.Errorf("%w: %w", ErrSupervisorGone, err)
	}
	_ = release.Close() // it was only read from
	path, err := exec.LookPath(command[0])
	if err != nil {
		return err
	}
	return syscall.Exec(path, command, os.Environ())
}

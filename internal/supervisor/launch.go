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

// releaseDescriptor is the file descriptor from which a launcher reads the byte that lets it execute the instance.
const releaseDescriptor = 3

// launch starts the instance as the leader of its own process group: the shutdown signal is sent to the leader alone, a
// kill to the whole group. The launcher executes the instance only after its process is recorded in the state file. The
// exit is sent to exited, which must have capacity 1.
func (s *supervisor) launch(ctx context.Context, exited chan<- fleet.Exit) error {
	log, err := os.OpenFile(s.paths.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the instance has a descriptor of its own
	releaseReader, releaseWriter, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = releaseReader.Close() }()
	defer func() { _ = releaseWriter.Close() }() // makes the launcher exit if it got no byte

	ctx = context.WithoutCancel(ctx) // the instance drains after ctx has ended
	cmd := s.launcherCommand(ctx, log, releaseReader)
	if err := cmd.Start(); err != nil {
		return err
	}
	instance, err := process.Of(cmd.Process.Pid)
	if err != nil { // the process has already ended; awaitChild reads its exit code
		instance = process.Identity{PID: cmd.Process.Pid}
	}
	if err := s.recordInstance(instance); err != nil { // no supervisor could adopt an unrecorded instance
		_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		_ = cmd.Wait() // the error says that the process was killed
		return err
	}

	if _, err := releaseWriter.Write([]byte{1}); err != nil {
		slog.Error("cannot tell the launcher to execute the instance", "name", s.options.Name, "error", err.Error())
	}
	slog.Info("launched", "name", s.options.Name, "run", s.options.Incarnation, "pid", instance.PID)
	go func() { exited <- awaitChild(cmd) }()
	return nil
}

// recordInstance records the process of the instance in the state file.
func (s *supervisor) recordInstance(instance process.Identity) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Instance = instance
	return s.record.write(s.paths.State)
}

// launcherCommand returns the command that starts the launcher, which later executes the instance in the same process.
func (s *supervisor) launcherCommand(ctx context.Context, log, releaseReader *os.File) *exec.Cmd {
	o := s.options
	args := slices.Concat(o.Launcher[1:], o.Command, []string{"--inspect", s.paths.Admin})
	cmd := exec.CommandContext(ctx, o.Launcher[0], args...)
	cmd.ExtraFiles = []*os.File{releaseReader} // becomes releaseDescriptor
	cmd.Env = append(os.Environ(), o.Env...)
	cmd.Stdout = log // a file rather than a pipe: it needs no reader and outlives this process
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

// awaitChild waits for the exit of a child and kills the remaining processes of its group.
func awaitChild(cmd *exec.Cmd) fleet.Exit {
	pid := cmd.Process.Pid
	// The group is killed before its leader is reaped, because the PID of a zombie is not reused.
	if err := unix.Waitid(unix.P_PID, pid, nil, unix.WEXITED|unix.WNOWAIT, nil); err != nil {
		slog.Error("cannot wait for the instance; killing its process group", "pid", pid, "error", err.Error())
	}
	_ = syscall.Kill(-pid, syscall.SIGKILL) // fails if the group has no other process
	_ = cmd.Wait()                          // ProcessState has the exit code
	exit := fleet.Exit{Code: cmd.ProcessState.ExitCode()}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		exit.Signal = status.Signal().String()
	}
	return exit
}

// awaitAdopted waits for the exit of an adopted instance. Its exit code is unknown, as it is not a child of this
// process.
func (s *supervisor) awaitAdopted(instance process.Identity) fleet.Exit {
	for instance.Alive() {
		fd, err := unix.PidfdOpen(instance.PID, 0)
		if err != nil {
			time.Sleep(s.options.Bounds.PollInterval)
			continue
		}
		timeout := int(s.options.Bounds.IdlePollInterval.Milliseconds())
		_, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, timeout) // the loop checks Alive again
		_ = unix.Close(fd)
	}
	return fleet.Exit{Unobserved: true}
}

// WaitAndExec runs in the launcher. It waits until the supervisor has recorded this process, and then executes the
// command in its place. It returns ErrSupervisorGone, wrapped, if the supervisor ends before that, so that no instance
// runs without a record.
func WaitAndExec(command []string) error {
	if len(command) == 0 {
		return ErrNoCommand
	}
	release := os.NewFile(releaseDescriptor, "release")
	if n, err := release.Read(make([]byte, 1)); n != 1 {
		return fmt.Errorf("%w: %w", ErrSupervisorGone, err)
	}
	_ = release.Close() // a file that was only read
	path, err := exec.LookPath(command[0])
	if err != nil {
		return err
	}
	return syscall.Exec(path, command, os.Environ())
}

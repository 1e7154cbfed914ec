package agent

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"slices"
	"syscall"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
)

// ExitSupervisorRunning is the exit code of a supervisor that found another supervisor of its instance running.
const ExitSupervisorRunning = 6

const (
	// supervisorLogDivisor sets the size at which a supervisor's log is rotated: Bounds.LogFileSize divided by it.
	supervisorLogDivisor = 16
	// maxLastLine bounds the part of the last line of a supervisor's log that goes into the history, in bytes.
	maxLastLine = 300
	// logMode makes the log unreadable for other users of the host.
	logMode os.FileMode = 0o600
	// supervisorLogSuffix is appended to the path of the instance's log.
	supervisorLogSuffix = ".keeper"
	// supervisorCommand is the subcommand that runs a supervisor. It must stay the same across releases.
	supervisorCommand = "keeper"
)

// launchWhenSlotFree waits until fewer than Bounds.ParallelStarts launches are in progress, then performs the launch.
func (a *Agent) launchWhenSlotFree(ctx context.Context, spec *fleet.Spec, action fleet.Action) {
	select {
	case a.launchSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	err := a.launch(ctx, spec, action)
	<-a.launchSlots
	if err != nil {
		a.reportFailure(action, err, true)
	}
}

// launch starts a supervisor, unless the incarnation has a running supervisor or has ended. Errors are of type
// *ActionError and not worth a retry.
func (a *Agent) launch(ctx context.Context, spec *fleet.Spec, action fleet.Action) error {
	paths := supervisor.PathsOf(a.options.Dir, action.Name)
	state, err := supervisor.ReadState(paths.State)
	if err == nil && state.Incarnation == action.Incarnation && (state.Ended || state.Supervisor.Alive()) {
		return nil // the launch was performed before
	}
	failed := func(err error) error {
		return &ActionError{Action: action.Kind, Instance: action.Name, Err: err}
	}
	args, err := a.supervisorArgs(spec, action)
	if err != nil {
		return failed(err)
	}
	logPath := paths.Log + supervisorLogSuffix
	log, err := a.openSupervisorLog(logPath)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = log.Close() }() // the supervisor has its own descriptor
	ctx = context.WithoutCancel(ctx)   // the supervisor outlives the agent
	cmd := exec.CommandContext(ctx, a.options.Executable[0], args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // keeps signals to the agent's session from the supervisor
	if err := cmd.Start(); err != nil {
		return failed(err)
	}
	// Not one of a.tasks: the goroutine runs as long as the supervisor, which may outlive the agent.
	go a.reapSupervisor(cmd, action, paths.State, logPath)
	return nil
}

// supervisorArgs returns the command-line arguments of a supervisor.
func (a *Agent) supervisorArgs(spec *fleet.Spec, action fleet.Action) ([]string, error) {
	in := spec.Instance(action.Name)
	window, err := ReadShutdownWindow(in.ConfigFile)
	if err != nil {
		return nil, &ConfigFileError{File: in.ConfigFile, Err: err}
	}
	args := slices.Concat(a.options.Executable[1:], []string{
		supervisorCommand,
		"--dir", a.options.Dir,
		"--name", action.Name,
		"--run", action.Incarnation,
		"--grace", window.Grace.Duration().String(),
		"--stop", window.ExitTimeout.Duration().String(),
		"--config", in.ConfigFile,
	})
	if in.DegradationFile != "" {
		args = append(args, "--levels", in.DegradationFile)
	}
	if action.Adopt {
		args = append(args, "--adopt")
	}
	if spec.Quotas != nil {
		for _, draw := range spec.Quotas.DrawSpecs(quota.InstanceName(action.Name)) {
			args = append(args, "--draw", draw)
		}
	}
	return slices.Concat(args, []string{"--"}, spec.Program), nil
}

// openSupervisorLog opens the log of an instance's supervisors and rotates it if it is too large.
func (a *Agent) openSupervisorLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > a.options.Bounds.LogFileSize/supervisorLogDivisor {
		_ = os.Rename(path, path+".1") // a log that can't be rotated must not prevent the launch
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
}

// reapSupervisor waits until a supervisor exits, and reports a failed launch if it did not record its incarnation.
func (a *Agent) reapSupervisor(cmd *exec.Cmd, action fleet.Action, statePath, logPath string) {
	_ = cmd.Wait() // the exit code has all that is needed
	code := cmd.ProcessState.ExitCode()
	if code == 0 || code == ExitSupervisorRunning {
		return
	}
	if state, err := supervisor.ReadState(statePath); err == nil && state.Incarnation == action.Incarnation {
		return // it supervised the incarnation; the watcher reports the state file
	}
	a.reportFailure(action, &SupervisorExitError{Code: code, LastOutput: lastLine(logPath)}, false)
}

// lastLine returns the last line of a file, truncated to maxLastLine; empty if the file can't be read.
func lastLine(path string) string {
	raw, _ := os.ReadFile(path)
	raw = bytes.TrimSpace(raw)
	raw = raw[bytes.LastIndexByte(raw, '\n')+1:]
	return string(raw[:min(len(raw), maxLastLine)])
}

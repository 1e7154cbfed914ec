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

// ExitSupervisorRunning is the exit code of a supervisor that found another one running.
const ExitSupervisorRunning = 6

const (
	// supervisorLogFraction divides Bounds.LogFileSize: a supervisor's log is rotated at the result.
	supervisorLogFraction = 16
	// maxLastLine is how much of the last line of a supervisor's log the history shows, in bytes.
	maxLastLine = 300
	// logMode keeps the log from others on the host.
	logMode os.FileMode = 0o600
	// supervisorLogSuffix is appended to the path of the instance's log.
	supervisorLogSuffix = ".keeper"
	// supervisorCommand is the sub-command that runs a supervisor. Other releases use it too.
	supervisorCommand = "keeper"
)

// launchWhenFree launches once fewer than Bounds.ParallelStarts launches are in progress.
func (a *Agent) launchWhenFree(ctx context.Context, spec *fleet.Spec, action fleet.Action) {
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

// launch starts a supervisor, unless one supervises the incarnation already or the incarnation has ended. The error is
// an *ActionError; another attempt would not help.
func (a *Agent) launch(ctx context.Context, spec *fleet.Spec, action fleet.Action) error {
	paths := supervisor.PathsOf(a.options.Dir, action.Name)
	state, err := supervisor.ReadState(paths.State)
	if err == nil && state.Incarnation == action.Incarnation && (state.Ended || state.Supervisor.Alive()) {
		return nil // the action is a repetition
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // signals to the agent's session do not reach it
	if err := cmd.Start(); err != nil {
		return failed(err)
	}
	// This goroutine runs as long as the supervisor, which outlives the agent: Run does not wait for it.
	go a.reapSupervisor(cmd, action, paths.State, logPath)
	return nil
}

// supervisorArgs returns the arguments of a supervisor.
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

// openSupervisorLog opens the log of an instance's supervisors, and rotates it if it is too long.
func (a *Agent) openSupervisorLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > a.options.Bounds.LogFileSize/supervisorLogFraction {
		_ = os.Rename(path, path+".1") // after an error the log grows, which must not keep the instance down
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
}

// reapSupervisor waits for a supervisor's exit and reports a failure if it never took charge of its incarnation.
func (a *Agent) reapSupervisor(cmd *exec.Cmd, action fleet.Action, statePath, logPath string) {
	_ = cmd.Wait() // the exit code says more
	code := cmd.ProcessState.ExitCode()
	if code == 0 || code == ExitSupervisorRunning {
		return
	}
	if state, err := supervisor.ReadState(statePath); err == nil && state.Incarnation == action.Incarnation {
		return // it took charge; the watcher reads the state
	}
	a.reportFailure(action, &SupervisorExitError{Code: code, LastOutput: lastLine(logPath)}, false)
}

// lastLine returns the last line of a file, cut to maxLastLine; empty if the file can't be read.
func lastLine(path string) string {
	raw, _ := os.ReadFile(path)
	raw = bytes.TrimSpace(raw)
	raw = raw[bytes.LastIndexByte(raw, '\n')+1:]
	return string(raw[:min(len(raw), maxLastLine)])
}

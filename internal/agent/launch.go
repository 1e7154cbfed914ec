package agent

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// ExitSupervisorRunning is the exit code of a supervisor that found another one running.
const ExitSupervisorRunning = 6

const (
	supervisorLogFraction = 16  // the log of supervisors is rotated at this part of Bounds.LogBytes
	maxLastLine           = 300 // bytes of a supervisor's last line that the history shows
	logMode               = 0o600
)

// launchWhenFree launches once fewer than Bounds.Parallel launches are under way.
func (a *Agent) launchWhenFree(ctx context.Context, spec *fleet.Spec, action fleet.Action) {
	select {
	case a.launchSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	err := a.launch(spec, action)
	<-a.launchSlots
	if err != nil {
		a.fail(action, err, true)
	}
}

// launch starts a supervisor, unless one has the incarnation already. The error is an *ActionError; another attempt
// would not help.
func (a *Agent) launch(spec *fleet.Spec, action fleet.Action) error {
	paths := supervisor.PathsOf(a.options.Dir, action.Name)
	state, err := supervisor.ReadState(paths.State)
	if err == nil && state.Incarnation == action.Incarnation && (state.Ended || state.Supervisor.Alive()) {
		return nil // the same action came twice
	}
	failed := func(err error) error {
		return &ActionError{Action: action.Kind, Instance: action.Name, Err: err}
	}
	args, err := a.supervisorArgs(spec, action)
	if err != nil {
		return failed(err)
	}
	logPath := paths.Log + ".keeper"
	log, err := a.openSupervisorLog(logPath)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = log.Close() }() // the supervisor has a descriptor of its own
	cmd := exec.Command(a.options.Executable[0], args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // signals to the agent's session do not reach it
	if err := cmd.Start(); err != nil {
		return failed(err)
	}
	// This goroutine runs as long as the supervisor, which outlives the agent: Run does not wait for it.
	go a.reapSupervisor(cmd, action, paths.State, logPath)
	return nil
}

// supervisorArgs is the command line of a supervisor, without the program.
func (a *Agent) supervisorArgs(spec *fleet.Spec, action fleet.Action) ([]string, error) {
	in := spec.Instance(action.Name)
	window, err := ReadShutdownWindow(in.ConfigFile)
	if err != nil {
		return nil, &ConfigFileError{File: in.ConfigFile, Err: err}
	}
	args := slices.Concat(a.options.Executable[1:], []string{
		"keeper", "--dir", a.options.Dir, "--name", action.Name, "--run", action.Incarnation,
		"--grace", duration(window.Grace).String(), "--stop", duration(window.ExitTimeout).String(),
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

func duration(d monotime.Micros) time.Duration { return time.Duration(d) * time.Microsecond }

// openSupervisorLog opens the log that the supervisors of one instance share, and rotates one that has grown.
func (a *Agent) openSupervisorLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > a.options.Bounds.LogFileSize/supervisorLogFraction {
		_ = os.Rename(path, path+".1") // else the log goes on growing, which must not keep an instance down
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
}

// reapSupervisor waits for a supervisor's exit and reports one that never took charge of its incarnation.
func (a *Agent) reapSupervisor(cmd *exec.Cmd, action fleet.Action, statePath, logPath string) {
	_ = cmd.Wait() // the exit code says more
	code := cmd.ProcessState.ExitCode()
	if code == 0 || code == ExitSupervisorRunning {
		return
	}
	if state, err := supervisor.ReadState(statePath); err == nil && state.Incarnation == action.Incarnation {
		return // it took charge, and its state says what became of the incarnation
	}
	a.fail(action, &SupervisorExitError{Code: code, LastOutput: lastLine(logPath)}, false)
}

// lastLine returns the beginning of a file's last line; empty if the file can't be read.
func lastLine(path string) string {
	raw, _ := os.ReadFile(path)
	raw = bytes.TrimSpace(raw)
	raw = raw[bytes.LastIndexByte(raw, '\n')+1:]
	return string(raw[:min(len(raw), maxLastLine)])
}

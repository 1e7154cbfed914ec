package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/faultinjection/harness"
	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/process"
)

// runSchedule runs a schedule of faults with real processes of a built program.
func runSchedule(t *testing.T, program, failpoint string, sched *schedule.Schedule) *harness.Verdict {
	t.Helper()
	return runWithOptions(t, harness.Options{Program: program, Schedule: sched, Failpoint: failpoint})
}

func runWithOptions(t *testing.T, o harness.Options) *harness.Verdict {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	o.Logf = t.Logf
	v, err := harness.Run(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	harness.Print(&b, v)
	t.Log(b.String())
	return v
}

func storedSchedule(t *testing.T, name string) *schedule.Schedule {
	t.Helper()
	sched, err := readSchedule(filepath.Join("../../internal/faultinjection/testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return sched
}

// TestFaultsRandomSchedulePasses runs a random schedule within the time of CI: five agents, twenty backends under load
// and faults of all kinds.
func TestFaultsRandomSchedulePasses(t *testing.T) {
	v := runSchedule(t, program, "", schedule.Random(27, 5, 20, len(schedule.Kinds()), 32*time.Second))
	if !v.OK {
		t.Errorf("checks failed: %v", v.Reasons)
	}
	missing := 0
	for _, k := range schedule.Kinds() {
		if v.Faults[string(k)] == 0 {
			missing++
		}
	}
	if missing > 2 { // a fault is not injected if its target has already ended
		t.Errorf("%d of %d kinds of faults were not injected: %v", missing, len(schedule.Kinds()), v.Faults)
	}
}

// TestFaultsRollingUpdate runs a rolling update over four hosts while its client and some agents are killed.
func TestFaultsRollingUpdate(t *testing.T) {
	if v := runSchedule(t, program, "", storedSchedule(t, "wave.sx")); !v.OK {
		t.Errorf("checks failed: %v", v.Reasons)
	}
}

// TestFaultsColdStart runs two schedules: sixty backends that start at once while the registry refuses reports, and a
// cold start of a site while agents are killed and a host is disconnected. Load reports without jitter and backoff must
// fail the checks.
func TestFaultsColdStart(t *testing.T) {
	for _, name := range []string{"cold.sx", "cold-rise.sx"} {
		if v := runSchedule(t, program, "", storedSchedule(t, name)); !v.OK {
			t.Errorf("%s: checks failed: %v", name, v.Reasons)
		}
	}
	// Without jitter and backoff each check of the report rate must fail. On a busy machine processes start one after
	// the other, which spreads their reports; suspending all backends for longer than the report interval and resuming
	// them at once synchronises the reports.
	sched := storedSchedule(t, "cold-fixed.sx")
	sched.Span = 12 * time.Second
	for n := range sched.Backends {
		sched.Faults = append(sched.Faults, schedule.Fault{Kind: schedule.StopBackend, Target: fmt.Sprint("n", n+1), At: 3 * time.Second, Duration: time.Second})
	}
	v := runSchedule(t, program, "", sched)
	if why := strings.Join(v.Reasons, " "); v.OK || !strings.Contains(why, "while it took nothing") || !strings.Contains(why, "first second") || !strings.Contains(why, "once all were listed") {
		t.Errorf("synchronised load reports were not detected: %v", v.Reasons)
	}
}

// buildWithFailpoints builds the program with failpoints, which enable faults that the checks must detect.
func buildWithFailpoints(t *testing.T) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "milletbarrow")
	build := exec.Command("go", "build", "-tags", "failpoint", "-o", to, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return to
}

// TestFaultsOfFailpointsAreDetected: the checker detects the faults that two failpoints cause, and passes agents that
// crash between storing, replicating and answering.
func TestFaultsOfFailpointsAreDetected(t *testing.T) {
	bad := buildWithFailpoints(t)
	sched := &schedule.Schedule{Name: "floors", Seed: 1, Hosts: 3, Backends: 6, Span: 4 * time.Second, Load: 0.2}
	if v := runSchedule(t, bad, "floors", sched); v.OK || !strings.Contains(strings.Join(v.Reasons, " "), "shares in force") {
		t.Errorf("floors counted twice were not detected: %v", v.Reasons)
	}
	// One of three hosts starts all of its instances at once, ignoring the limit of the quota store.
	ignored := storedSchedule(t, "cold-rise.sx")
	ignored.Faults, ignored.Backends, ignored.Span, ignored.ColdStart.MaxConcurrent = nil, 36, 4*time.Second, 7
	// A settle time of a second makes the starts of its twelve backends overlap, however slowly a busy machine runs them.
	if v := runWithOptions(t, harness.Options{Program: bad, Schedule: ignored, Failpoint: "ignore@h2", SettleTime: time.Second}); v.OK || !strings.Contains(strings.Join(v.Reasons, " "), "starting at once") {
		t.Errorf("a host that ignores the quota of starts was not detected: %v", v.Reasons)
	}
	// An agent crashes between storing and replicating an entry, and between replicating and answering.
	sched.Name, sched.Span = "points", 14*time.Second
	for i, point := range []string{"stored", "replicated", "stored"} {
		sched.Faults = append(sched.Faults, schedule.Fault{
			Kind: schedule.CrashPoint, Target: fmt.Sprint("h", i+1), Name: point, At: time.Duration(1+4*i) * time.Second, Duration: 3 * time.Second,
		})
	}
	v := runSchedule(t, bad, "", sched)
	if !v.OK || v.Faults["point"] < 2 {
		t.Errorf("with agents that crash at failpoints: %v, faults %v", v.Reasons, v.Faults)
	}
}

// TestFaultsEndAllProcesses: closing the harness ends all processes that it started.
func TestFaultsEndAllProcesses(t *testing.T) {
	g, err := harness.Open(harness.Options{Program: program, Schedule: &schedule.Schedule{Name: "none", Hosts: 1, Backends: 2, Span: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Start(t.Context()); err != nil { // one agent: a quota store of one member
		t.Error(err)
	}
	pids := g.Processes()
	if len(pids) != 5 {
		t.Errorf("%d processes, want an agent, two supervisors and two backends", len(pids))
	}
	if err := g.Close(); err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		alive := []process.Identity{}
		for _, id := range pids {
			if id.Alive() {
				alive = append(alive, id)
			}
		}
		if len(alive) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("still running: %v", alive)
		}
	}
}

// trialProcesses returns the processes of fault-injection runs whose directory is below dir.
func trialProcesses(dir string) (all []process.Identity) {
	files, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, file := range files {
		environment, _ := os.ReadFile(file) // empty if the process has ended
		if !strings.Contains("\x00"+string(environment), "\x00MILLETBARROW_TRIAL_DIR="+dir+"/") {
			continue
		}
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		if id, err := process.Of(pid); err == nil {
			all = append(all, id)
		}
	}
	return all
}

// TestFaultsEndAllProcessesWhenKilled: the processes of a run also end when the command that runs it is killed.
func TestFaultsEndAllProcessesWhenKilled(t *testing.T) {
	dir, err := os.MkdirTemp("", "t") // short: the paths of Unix sockets are limited
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "trial.sx")
	if err := os.WriteFile(file, []byte("(trial none (hosts 1) (backends 2) (span 1h) (load 0))"), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, "faults", "run", file, "--quiet", "--keep", dir)
	command.Env = append(os.Environ(), "TMPDIR="+dir)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, id := range trialProcesses(dir) {
			id.Signal(syscall.SIGKILL)
		}
	}()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		command.Wait()
	}()
	for end := time.Now().Add(time.Minute); len(trialProcesses(dir)) < 5; time.Sleep(20 * time.Millisecond) {
		select {
		case <-ended:
			t.Fatal("the command ended by itself")
		default:
		}
		if time.Now().After(end) {
			command.Process.Kill()
			t.Fatalf("%d processes, want an agent, two supervisors and two backends", len(trialProcesses(dir)))
		}
	}
	command.Process.Kill()
	<-ended
	for end := time.Now().Add(30 * time.Second); len(trialProcesses(dir)) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still running: %v", trialProcesses(dir))
		}
	}
}

// TestFleetCheckRejectsInvalidQuotas: fleet check rejects invalid quotas with their place in the file, and accepts
// valid ones.
func TestFleetCheckRejectsInvalidQuotas(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "f.sx")
	check := func(forms string) string {
		text := "(fleet f (host h1 (agent \"unix:/tmp/a\") (peer \"127.0.0.1:7001\")) (host h2 (agent \"unix:/tmp/b\") (peer \"127.0.0.1:7002\"))\n" +
			" (group g (host h1) (config \"%n.json\") (range n 1 4))\n" + forms + ")"
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		out, _ := exec.Command(program, "fleet", "check", "--fleet", file).CombinedOutput()
		return string(out)
	}
	for forms, want := range map[string]string{
		"(quotas (quota-store h1) (quota b (rate 10) (tenant t) (floor 3)))":                                                  "f.sx:3:56: fleet.quotas.quota.floor: the floors of 4 backends sum up to 12, the total is 10",
		"(quotas (quota-store h1) (quota b (rate 10) (tenant t) (lease 1s) (margin 2s)))":                                     "f.sx:3:56: fleet.quotas.quota.lease: 1000 ms is not longer than its margin, 2000 ms",
		"(quotas (quota-store h1) (quota b (rate 10) (tenant t) (lease 10s) (margin 50ms)))":                                  "quota.margin: 50 ms is less than 100 ms",
		"(quotas (quota-store h1 h2) (quota b (count 2)))":                                                                    "f.sx:3:9: fleet.quotas.quota-store: a group of two tolerates no failure",
		"(quotas (quota-store h9) (quota b (count 2)))":                                                                       `unknown host "h9"`,
		"(quotas (quota-store h1) (quota b (count 2) (rate 3)))":                                                              "wanted either (rate UNITS-A-SECOND) or (count UNITS)",
		"(quotas (quota-store h1) (quota b (count 2)) (quota b (count 2)))":                                                   `duplicate quota "b"`,
		"(quotas (quota-store h1) (quota b (rate 9)))":                                                                        "quota.tenant: missing",
		"(quotas (quota-store h1) (quota b (count 2))) (rolling-update (quota c))":                                            `this file has no quota "c" with a count`,
		"(quotas (quota-store h1) (quota b (rate 9) (tenant t) (floors (n1 2) (n2 1)))) (rolling-update (max-unavailable 2))": "valid",
	} {
		if out := check(forms); !strings.Contains(out, want) {
			t.Errorf("%s\n%swant %q", forms, out, want)
		}
	}
}

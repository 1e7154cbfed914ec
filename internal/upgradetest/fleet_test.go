package upgradetest

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/process"
	"milletbarrow/internal/simulation"
)

// conditionTimeout limits each wait for a condition. It allows for a machine that is busy with other tests.
const conditionTimeout = 40 * time.Second

// Quotas of the fleet's two tenants, in invocations per second.
const (
	acmeQuota = 24
	zetaQuota = 9
)

// testHost is one agent with one instance.
type testHost struct {
	name, dir, instance string
	agent               *exec.Cmd
}

// testFleet is a fleet of agents on this machine, each with one instance.
type testFleet struct {
	t        *testing.T
	site     *demo.Site
	scenario simulation.Scenario
	file     string
	program  string // binary that runs the fleet commands
	hosts    []*testHost
}

// newFleet writes the files of a fleet and starts no process. The instances write their draw logs to drawLogs.
func newFleet(t *testing.T, program string, hosts int) *testFleet {
	t.Helper()
	scenario := demo.Scenario(hosts, 15*time.Second)
	scenario.Faults, scenario.Load.Level = nil, 0.3
	scenario.Tenants = []simulation.Tenant{{Name: "acme", Share: 0.7, Quota: acmeQuota}, {Name: "zeta", Share: 0.3, Quota: zetaQuota}}
	site, err := demo.NewSiteWithRegistry(&scenario, "", "")
	if err != nil {
		t.Fatal(err)
	}
	f := &testFleet{t: t, site: site, scenario: scenario, file: filepath.Join(site.Dir, "upgrade.sx"), program: program}
	t.Cleanup(f.close)
	if err := os.Mkdir(f.drawLogs(), 0o700); err != nil {
		t.Fatal(err)
	}
	var spec, groups, quotaHosts strings.Builder
	for i, instance := range site.Names {
		host := &testHost{name: fmt.Sprint("h", i+1), instance: instance}
		host.dir = filepath.Join(site.Dir, host.name)
		f.hosts = append(f.hosts, host)
		peer, err := site.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&spec, " (host %s (agent \"unix:%s.sock\") (peer %q))\n", host.name, host.dir, peer)
		fmt.Fprintf(&groups, " (group g-%s (host %s) (config \"%%n.json\") (instances %s) (start-within 30s) (settle 100ms))\n", host.name, host.name, instance)
		quotaHosts.WriteString(" " + host.name)
	}
	text := fmt.Sprintf("(fleet upgrade\n%s%s (budgets (version 1) (ledger%s)\n"+
		"  (budget acme (rate %d) (tenant acme) (floor 1) (divide demand) (lease 2s) (margin 100ms))\n"+
		"  (budget zeta (rate %d) (tenant zeta) (floor 1) (divide even) (lease 2s) (margin 100ms))))\n",
		spec.String(), groups.String(), quotaHosts.String(), acmeQuota, zetaQuota)
	if err := os.WriteFile(f.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// drawLogs returns the directory of the instances' logs of quota draws.
func (f *testFleet) drawLogs() string { return filepath.Join(f.site.Dir, "draws") }

// close kills the fleet's agents, and its supervisors and instances by the identities in the supervisors' state files,
// so that it kills no other process.
func (f *testFleet) close() {
	for _, host := range f.hosts {
		f.endAgent(host, syscall.SIGKILL)
		supervisor, instance := f.identities(host)
		_ = supervisor.Signal(syscall.SIGKILL)
		_ = instance.KillGroup()
	}
	if err := f.site.Close(); err != nil {
		f.t.Log(err)
	}
}

// identities returns the processes named in the state file of a host's supervisor; zero without such a file.
func (f *testFleet) identities(host *testHost) (supervisor, instance process.Identity) {
	content, err := os.ReadFile(filepath.Join(host.dir, "keepers", host.instance+".json"))
	if err != nil {
		return supervisor, instance
	}
	var state struct {
		Supervisor process.Identity `json:"keeper"`
		Instance   process.Identity `json:"instance"`
	}
	if err := json.Unmarshal(content, &state); err != nil {
		f.t.Logf("%s: %v", host.name, err)
	}
	return state.Supervisor, state.Instance
}

// startAgent starts a host's agent from the given binary.
func (f *testFleet) startAgent(host *testHost, program string) {
	f.t.Helper()
	log, err := os.OpenFile(host.dir+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	host.agent = exec.Command(program, "agent", "--fleet", f.file, "--host", host.name, "--dir", host.dir)
	host.agent.Env = append(os.Environ(), "MILLETBARROW_STAMPS="+f.drawLogs())
	host.agent.Stdout, host.agent.Stderr = log, log
	if err := host.agent.Start(); err != nil {
		f.t.Fatal(err)
	}
}

// endAgent ends a host's agent; its instance keeps running.
func (f *testFleet) endAgent(host *testHost, signal syscall.Signal) {
	if host.agent == nil {
		return
	}
	_ = host.agent.Process.Signal(signal)
	_ = host.agent.Wait() // the exit status of a process that was killed is an error
	host.agent = nil
}

// run runs a fleet command and fails the test unless it succeeds.
func (f *testFleet) run(args ...string) []byte {
	f.t.Helper()
	output, err := f.command(args...).Output()
	if err != nil {
		f.t.Fatalf("fleet %v: %v: %s\n%s", args, err, output, f.logTails())
	}
	return output
}

// command returns a fleet command that has not started.
func (f *testFleet) command(args ...string) *exec.Cmd {
	return exec.Command(f.program, append([]string{"fleet", args[0], "--fleet", f.file}, args[1:]...)...)
}

// logTails returns the last bytes of each agent's log, for failure messages.
func (f *testFleet) logTails() string {
	const maxBytes = 2000
	var all strings.Builder
	for _, host := range f.hosts {
		content, _ := os.ReadFile(host.dir + ".log") // an agent that was not started has no log
		fmt.Fprintf(&all, "%s:\n%s\n", host.name, content[max(0, len(content)-maxBytes):])
	}
	return all.String()
}

// waitUntil waits for a condition and fails the test after conditionTimeout.
func (f *testFleet) waitUntil(condition string, met func() bool) {
	f.t.Helper()
	for end := time.Now().Add(conditionTimeout); !met(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met within %v: %s\n%s", conditionTimeout, condition, f.logTails())
		}
	}
}

// instanceStatus holds the fields of an instance in the output of fleet status --json that the tests need.
type instanceStatus struct {
	Phase      string `json:"phase"`
	PID        int    `json:"pid"`
	Supervisor int    `json:"keeper"`
}

// status returns the status of a host's instance; zero while its agent does not answer.
func (f *testFleet) status(host *testHost) instanceStatus {
	output, err := f.command("status", "--json").Output()
	if err != nil && len(output) == 0 {
		return instanceStatus{}
	}
	var all []struct {
		Host   string `json:"host"`
		Status *struct {
			Instances []instanceStatus `json:"instances"`
		} `json:"status"`
	}
	if err := json.Unmarshal(output, &all); err != nil {
		f.t.Fatalf("status: %v: %s", err, output)
	}
	for _, h := range all {
		if h.Host == host.name && h.Status != nil && len(h.Status.Instances) == 1 {
			return h.Status.Instances[0]
		}
	}
	return instanceStatus{}
}

// quotasInForce reports whether there is a quota leader and the whole of each quota is leased to instances.
func (f *testFleet) quotasInForce() bool {
	output, err := f.command("budgets", "--json").Output()
	var answer struct {
		Leader string `json:"leader"`
		Quotas []struct {
			Total   int64 `json:"whole"`
			InForce int64 `json:"in_force"`
		} `json:"budgets"`
	}
	if err != nil || json.Unmarshal(output, &answer) != nil || answer.Leader == "" || len(answer.Quotas) != 2 {
		return false
	}
	for _, q := range answer.Quotas {
		if q.InForce < q.Total {
			return false
		}
	}
	return true
}

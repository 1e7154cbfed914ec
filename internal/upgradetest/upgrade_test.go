package upgradetest

import (
	"context"
	"syscall"
	"testing"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
	"milletbarrow/internal/process"
)

// TestAgentAdoptsOtherRelease: an agent of one release finds the instance that a supervisor of the other runs, without
// a restart; has a supervisor of its own take over where that one dies; and drains the instance.
func TestAgentAdoptsOtherRelease(t *testing.T) {
	earlier, current := programs(t)
	for _, c := range []struct{ name, first, second string }{
		{"new agent, old supervisor", earlier, current},
		{"old agent, new supervisor", current, earlier},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, current, 1)
			host := f.hosts[0]
			f.startAgent(host, c.first)
			f.until("the first agent answers", func() bool { return f.status(host).Phase != "" })
			f.run("start", "--all", "--quiet", "--within", "30s")
			f.until("the instance is ready", func() bool { return f.status(host).Phase == "ready" })
			before := f.status(host)

			f.endAgent(host, syscall.SIGKILL)
			f.startAgent(host, c.second)
			f.until("the other agent has adopted the instance", func() bool { return f.status(host) == before })

			supervisor, _ := f.identities(host)
			if err := supervisor.Signal(syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			f.until("another supervisor has taken over", func() bool {
				now := f.status(host)
				return now.Phase == "ready" && now.PID == before.PID && now.Supervisor != before.Supervisor
			})
			f.run("drain", "--all", "--quiet", "--within", "30s")
			if phase := f.status(host).Phase; phase != "gone" {
				t.Errorf("drained, the instance is %s", phase)
			}
		})
	}
}

// TestRollingUpgrade: three agents that keep the quotas are upgraded one after the other while their instances draw,
// each instance once its agent was. No unit is drawn beyond the quotas, and no share in force adds up to more.
func TestRollingUpgrade(t *testing.T) {
	earlier, current := programs(t)
	f := newFleet(t, current, 3)
	for _, host := range f.hosts {
		f.startAgent(host, earlier)
	}
	f.until("a leader", func() bool { return f.command("budgets", "--json").Run() == nil })
	f.run("start", "--all", "--quiet", "--within", "30s")
	f.until("quotas divided by the earlier release", f.quotasInForce)
	from := int64(process.Now())
	stopLoad := f.startLoad()

	for _, host := range f.hosts {
		before := f.status(host)
		f.endAgent(host, syscall.SIGTERM)
		f.startAgent(host, current)
		f.until("the upgraded agent has adopted its instance", func() bool { return f.status(host) == before })
		f.until("quotas divided beside agents of two releases", f.quotasInForce)
		f.run("restart", host.instance, "--quiet", "--within", "30s")
		f.until("quotas divided among instances of two releases", f.quotasInForce)
	}
	stopLoad()
	f.run("stop", "--all", "--quiet", "--within", "30s")
	f.audit(from, int64(process.Now()))
}

// startLoad sends invocations to all instances until it is stopped.
func (f *testFleet) startLoad() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	scenario := f.scenario
	scenario.Duration *= 20 // longer than any test
	go func() {
		defer close(ended)
		_, _ = loadgen.Run(ctx, loadgen.Options{Scenario: &scenario, Seed: 1, Backends: f.site.Backends, Bounds: limits.ForLoad()})
	}()
	return func() {
		cancel()
		<-ended
	}
}

// audit has the checker judge what the instances wrote down of their quotas and draws.
func (f *testFleet) audit(from, to int64) {
	f.t.Helper()
	const beforeStart = 60_000_000 // microseconds; the limits hold since before the first process
	processes, err := checker.ReadAll(f.drawLogs())
	if err != nil {
		f.t.Fatal(err)
	}
	if len(processes) != 2*len(f.hosts) {
		f.t.Errorf("%d processes wrote what they drew, wanted one of each release on each of %d hosts", len(processes), len(f.hosts))
	}
	quotas := checker.Limits{"acme": {{From: from - beforeStart, Units: acmeQuota}}, "zeta": {{From: from - beforeStart, Units: zetaQuota}}}
	for name, quota := range map[string]int64{"acme": acmeQuota, "zeta": zetaQuota} {
		report := checker.CheckGrants(processes, name, quotas, from, to)
		// As the fault injection's harness allows: three tenths of a second of a share at once, and four units and one
		// in hand for each instance.
		report.CheckDraws(processes, quotas, quota*3/10+5*int64(len(f.hosts)), 500_000, 2_000_000, 10_000_000)
		for _, breach := range report.Breaches {
			f.t.Error(breach)
		}
		if report.Drawn == 0 {
			f.t.Errorf("%s: nothing was drawn", name)
		}
		f.t.Logf("%s: %d units drawn under %d grants, shares in force at most %.3f of the quota", name, report.Drawn, report.Grants, report.Peak)
	}
}

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

// TestAgentAdoptsInstanceOfOtherRelease checks that an agent of one release adopts the instance of a supervisor of the
// other without a restart, replaces that supervisor by one of its own release when it is killed, and drains the
// instance.
func TestAgentAdoptsInstanceOfOtherRelease(t *testing.T) {
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
			f.waitUntil("the first agent answers", func() bool { return f.status(host).Phase != "" })
			f.run("start", "--all", "--quiet", "--within", "30s")
			f.waitUntil("the instance is ready", func() bool { return f.status(host).Phase == "ready" })
			before := f.status(host)

			f.endAgent(host, syscall.SIGKILL)
			f.startAgent(host, c.second)
			f.waitUntil("the other agent has adopted the instance", func() bool { return f.status(host) == before })

			supervisor, _ := f.identities(host)
			if err := supervisor.Signal(syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			f.waitUntil("another supervisor has taken over", func() bool {
				now := f.status(host)
				return now.Phase == "ready" && now.PID == before.PID && now.Supervisor != before.Supervisor
			})
			f.run("drain", "--all", "--quiet", "--within", "30s")
			if phase := f.status(host).Phase; phase != "gone" {
				t.Errorf("phase after the drain is %s, want gone", phase)
			}
		})
	}
}

// TestRollingUpgradeKeepsQuotas upgrades three agents, which also hold the quota store, one after the other under
// load, each followed by its instance. It checks that the instances draw no unit beyond the quotas, and that the shares
// in force never add up to more than the quotas.
func TestRollingUpgradeKeepsQuotas(t *testing.T) {
	earlier, current := programs(t)
	f := newFleet(t, current, 3)
	for _, host := range f.hosts {
		f.startAgent(host, earlier)
	}
	f.waitUntil("there is a quota leader", func() bool { return f.command("budgets", "--json").Run() == nil })
	f.run("start", "--all", "--quiet", "--within", "30s")
	f.waitUntil("the earlier release has divided the quotas", f.quotasInForce)
	from := int64(process.Now())
	stopLoad := f.startLoad()

	for _, host := range f.hosts {
		before := f.status(host)
		f.endAgent(host, syscall.SIGTERM)
		f.startAgent(host, current)
		f.waitUntil("the upgraded agent has adopted its instance", func() bool { return f.status(host) == before })
		f.waitUntil("agents of two releases have divided the quotas", f.quotasInForce)
		f.run("restart", host.instance, "--quiet", "--within", "30s")
		f.waitUntil("the quotas are divided among instances of two releases", f.quotasInForce)
	}
	stopLoad()
	f.run("stop", "--all", "--quiet", "--within", "30s")
	f.checkDraws(from, int64(process.Now()))
}

// startLoad sends load to all instances until stop is called.
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

// checkDraws checks the instances' logs of quota grants and draws.
func (f *testFleet) checkDraws(from, to int64) {
	f.t.Helper()
	const beforeStart = 60_000_000 // microseconds; the limits apply from before the start of the first process
	processes, err := checker.ReadAll(f.drawLogs())
	if err != nil {
		f.t.Fatal(err)
	}
	if len(processes) != 2*len(f.hosts) {
		f.t.Errorf("draw logs of %d processes, want one of each release on each of %d hosts", len(processes), len(f.hosts))
	}
	quotas := checker.Limits{"acme": {{From: from - beforeStart, Units: acmeQuota}}, "zeta": {{From: from - beforeStart, Units: zetaQuota}}}
	for name, quota := range map[string]int64{"acme": acmeQuota, "zeta": zetaQuota} {
		report := checker.CheckGrants(processes, name, quotas, from, to)
		// The same allowance as in the fault injection harness: a burst of 0.3 s of the quota, and for each instance four
		// further units and one that it holds.
		report.CheckDraws(processes, quotas, quota*3/10+5*int64(len(f.hosts)), 500_000, 2_000_000, 10_000_000)
		for _, breach := range report.Breaches {
			f.t.Error(breach)
		}
		if report.Drawn == 0 {
			f.t.Errorf("%s: no unit was drawn", name)
		}
		f.t.Logf("%s: %d units drawn under %d grants, peak of the shares in force %.3f of the quota", name, report.Drawn, report.Grants, report.Peak)
	}
}

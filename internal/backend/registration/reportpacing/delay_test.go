package reportpacing

import (
	"testing"

	"milletbarrow/monotime"
)

// TestFirstReportIsJittered checks that the first reports of backends that start at the same time are spread over the
// interval, and that fixed pacing sends them immediately.
func TestFirstReportIsJittered(t *testing.T) {
	config := testConfig()
	start := func(p *Pacer) monotime.Micros {
		p.Start(5)
		return 5
	}
	if shortest, longest := delayRange(config, start); shortest > config.Interval/10 || longest < config.Interval*9/10 {
		t.Errorf("the first reports are due after %d to %d us", shortest, longest)
	}
	config.Fixed = true
	if shortest, longest := delayRange(config, start); shortest != 0 || longest != 0 {
		t.Errorf("with fixed pacing, the first reports are due after %d to %d us", shortest, longest)
	}
}

// TestStartResetsFailures checks that after Start, failures at a former address do not affect the delay.
func TestStartResetsFailures(t *testing.T) {
	config := testConfig()
	config.RetryInitial = second
	config.RetryMax = 60 * second
	_, longest := delayRange(config, func(p *Pacer) monotime.Micros {
		rejectReports(p, 0, 20)
		p.Start(0)
		rejectReports(p, 0, 1)
		return 0
	})
	if longest > config.RetryInitial {
		t.Errorf("the first failure at a new address delays by %d us", longest)
	}
}

// TestStartIgnoresFormerEntry checks that after Start, the entry at a former address does not limit the delay.
func TestStartIgnoresFormerEntry(t *testing.T) {
	const movedAt = 2 * second // a second before the entry at the former address would expire
	config := testConfig()
	_, longest := delayRange(config, func(p *Pacer) monotime.Micros {
		acceptReport(p, 0)
		p.Start(movedAt)
		rejectReports(p, movedAt, 1)
		return movedAt
	})
	if longest < config.TTL-movedAt {
		t.Errorf("the entry at a former address limits the delay to %d us", longest)
	}
}

// TestOverlappingReportsBackOff checks that if a report is sent while an earlier one is still in flight, the next
// report is delayed as after a failure, and that fixed pacing keeps its interval.
func TestOverlappingReportsBackOff(t *testing.T) {
	config := testConfig()
	overlap := func(p *Pacer) monotime.Micros {
		p.Start(0)
		p.Started(0)
		p.Started(0)
		return 0
	}
	shortest, longest := delayRange(config, overlap)
	if shortest < config.Interval*5/7 || longest < 2*config.Interval {
		t.Errorf("the next reports are due after %d to %d us", shortest, longest)
	}
	config.Fixed = true
	shortest, longest = delayRange(config, overlap)
	if shortest != config.Interval || longest != config.Interval {
		t.Errorf("with fixed pacing, the next reports are due after %d to %d us", shortest, longest)
	}
}

// TestSuccessEndsBackoff checks that after an accepted report, the next report is due after the usual interval, and
// that the next failure is treated as the first.
func TestSuccessEndsBackoff(t *testing.T) {
	config := testConfig()
	config.TTL = 1 << 40 // so that the entry does not limit the delays
	config.RetryInitial = second
	config.RetryMax = 60 * second
	succeed := func(p *Pacer) monotime.Micros {
		p.Start(0)
		rejectReports(p, 0, 20)
		p.Started(0)
		p.Started(0)
		p.Failed(0, Rejected, 20*second) // one of the two
		p.Succeeded(0, 0)                // the other
		return 0
	}
	if _, longest := delayRange(config, succeed); longest > config.Interval*9/7 {
		t.Errorf("after a success, the next report is due after %d us", longest)
	}
	_, longest := delayRange(config, func(p *Pacer) monotime.Micros {
		now := succeed(p)
		rejectReports(p, now, 1)
		return now
	})
	if longest > config.RetryInitial {
		t.Errorf("the first failure after a success delays by %d us", longest)
	}
}

// TestRetryAfterIsBoundedAndSpread checks that a Retry-After is honored up to RetryAfterMax, and that backends that
// received it at the same time do not report again at the same time.
func TestRetryAfterIsBoundedAndSpread(t *testing.T) {
	config := testConfig()
	for _, test := range []struct {
		name       string
		retryAfter monotime.Micros
		want       monotime.Micros
	}{
		{"within the bound", 5 * second, 5 * second},
		{"an hour", 3600 * second, config.RetryAfterMax},
	} {
		t.Run(test.name, func(t *testing.T) {
			shortest, longest := delayRange(config, func(p *Pacer) monotime.Micros {
				p.Started(0)
				p.Failed(0, Rejected, test.retryAfter)
				return 0
			})
			if shortest < test.want || longest > test.want*3/2 || longest-shortest < config.Interval {
				t.Errorf("reports are due after %d to %d us", shortest, longest)
			}
		})
	}
}

// TestRefusedConnectionsAreRetriedSoon checks that the delay after a refused connection is at most RetryRefused.
func TestRefusedConnectionsAreRetriedSoon(t *testing.T) {
	const failures = 20 // enough for the bound to reach RetryMax
	config := testConfig()
	_, longest := delayRange(config, func(p *Pacer) monotime.Micros {
		rejectReports(p, 0, failures)
		p.Started(0)
		p.Failed(0, Refused, 0)
		return 0
	})
	if longest > config.RetryRefused {
		t.Errorf("a refused connection delays by %d us", longest)
	}
}

// TestEntryBoundsRetryDelay checks that the delay after a failure is limited by the time left until the entry expires,
// unless there is no entry or it is too late to renew it.
func TestEntryBoundsRetryDelay(t *testing.T) {
	config := testConfig()
	_, longest := delayRange(config, func(p *Pacer) monotime.Micros {
		rejectReports(p, config.TTL*2/3, 1)
		return config.TTL * 2 / 3
	})
	if longest < config.TTL/2 {
		t.Errorf("without an entry, delays are up to %d us", longest)
	}
	failAtAge := func(age monotime.Micros) func(p *Pacer) monotime.Micros {
		return func(p *Pacer) monotime.Micros {
			acceptReport(p, 0)
			rejectReports(p, age, 1)
			return age
		}
	}
	if _, longest = delayRange(config, failAtAge(config.TTL/3)); longest > config.TTL*2/3-renewalMargin {
		t.Errorf("the next report is due %d us after a failure, the entry expires in %d us", longest, config.TTL*2/3)
	}
	if _, longest = delayRange(config, failAtAge(config.TTL-renewalMargin)); longest < config.RetryInitial/2 {
		t.Errorf("too late to renew the entry, delays are up to %d us", longest)
	}
}

// TestRetryDelayIsAtLeastRetryMin checks that the delay after a failure is at least RetryMin, even if the upper bounds
// are shorter.
func TestRetryDelayIsAtLeastRetryMin(t *testing.T) {
	config := testConfig()
	config.RetryInitial = config.RetryMin / 10
	config.RetryMax = config.RetryMin / 10
	shortest, _ := delayRange(config, func(p *Pacer) monotime.Micros {
		rejectReports(p, 0, 1)
		return 0
	})
	if shortest < config.RetryMin {
		t.Errorf("a failure delays by %d us", shortest)
	}
}

package reportpacing

import (
	"testing"

	"milletbarrow/monotime"
)

// seeds is how many pacers are compared where a property is one of their distribution.
const seeds = 200

// delays returns the delay before the next report of pacers with different seeds; course brings each to the moment of interest,
// and returns that moment.
func delays(config Config, course func(p *Pacer) (now monotime.Micros)) (all []monotime.Micros) {
	for seed := range uint64(seeds) {
		p := New(config, seed)
		now := course(p)
		at, _ := p.Due()
		all = append(all, at-now)
	}
	return all
}

// bounds returns the shortest and the longest delay.
func bounds(all []monotime.Micros) (shortest, longest monotime.Micros) {
	shortest, longest = all[0], all[0]
	for _, d := range all {
		shortest, longest = min(shortest, d), max(longest, d)
	}
	return shortest, longest
}

// fail makes so many reports fail at now, as rejected.
func fail(p *Pacer, now monotime.Micros, reports int) {
	for range reports {
		p.Started(now)
		p.Failed(now, Rejected, 0)
	}
}

// TestFirstReportIsJittered: the first reports of backends that start at the same time are spread over the interval; fixed pacing
// sends them at once.
func TestFirstReportIsJittered(t *testing.T) {
	config := testConfig()
	start := func(p *Pacer) monotime.Micros { p.Start(5); return 5 }
	if shortest, longest := bounds(delays(config, start)); shortest > config.Interval/10 || longest < config.Interval*9/10 {
		t.Errorf("the first reports are due after %d to %d us", shortest, longest)
	}
	config.Fixed = true
	if shortest, longest := bounds(delays(config, start)); shortest != 0 || longest != 0 {
		t.Errorf("with fixed pacing, the first reports are due after %d to %d us", shortest, longest)
	}
}

// TestStartForgetsFormerAddress: after Start, neither the failures nor the entry at a former address count.
func TestStartForgetsFormerAddress(t *testing.T) {
	config := testConfig()
	config.RetryInitial, config.RetryMax = 1_000_000, 60_000_000
	failures := delays(config, func(p *Pacer) monotime.Micros {
		fail(p, 0, 20)
		p.Start(0)
		fail(p, 0, 1)
		return 0
	})
	if _, longest := bounds(failures); longest > config.RetryInitial {
		t.Errorf("the first failure at a new address delays by %d us", longest)
	}
	config = testConfig()
	entry := delays(config, func(p *Pacer) monotime.Micros {
		p.Started(0)
		p.Succeeded(0, 0)
		p.Start(2_000_000) // the entry at the former address would expire in a second
		fail(p, 2_000_000, 1)
		return 2_000_000
	})
	if _, longest := bounds(entry); longest < config.TTL-2_000_000 {
		t.Errorf("the entry at a former address bounds the delay to %d us", longest)
	}
}

// TestOverlappingReportsBackOff: while the report before is still in flight, the next is delayed as after a failure; fixed pacing
// keeps its interval.
func TestOverlappingReportsBackOff(t *testing.T) {
	config := testConfig()
	overlap := func(p *Pacer) monotime.Micros {
		p.Start(0)
		p.Started(0)
		p.Started(0)
		return 0
	}
	if shortest, longest := bounds(delays(config, overlap)); shortest < config.Interval*5/7 || longest < 2*config.Interval {
		t.Errorf("the next reports are due after %d to %d us", shortest, longest)
	}
	config.Fixed = true
	if shortest, longest := bounds(delays(config, overlap)); shortest != config.Interval || longest != config.Interval {
		t.Errorf("with fixed pacing, the next reports are due after %d to %d us", shortest, longest)
	}
}

// TestReportsInFlightAreBounded: at the bound no report may be sent until one has ended, however it ends.
func TestReportsInFlightAreBounded(t *testing.T) {
	config := testConfig()
	for name, end := range map[string]func(p *Pacer){
		"succeeded": func(p *Pacer) { p.Succeeded(1, 0) },
		"failed":    func(p *Pacer) { p.Failed(1, TimedOut, 0) },
		"abandoned": func(p *Pacer) { p.Abandoned() },
	} {
		p := New(config, 1)
		p.Start(0)
		for n := range config.InFlight {
			if _, mayReport := p.Due(); !mayReport {
				t.Errorf("no report may be sent with %d in flight", n)
			}
			p.Started(0)
		}
		if _, mayReport := p.Due(); mayReport {
			t.Errorf("a report may be sent with %d in flight", config.InFlight)
		}
		end(p)
		if _, mayReport := p.Due(); !mayReport {
			t.Errorf("no report may be sent once one has %s", name)
		}
	}
}

// TestOlderReportDoesNotAgeTheEntry: reports may end in another order than they were sent; the entry lasts from the newest.
func TestOlderReportDoesNotAgeTheEntry(t *testing.T) {
	p := New(testConfig(), 1)
	p.Start(0)
	p.Started(0)
	p.Started(1_000_000)
	p.Succeeded(1_100_000, 1_000_000)
	p.Succeeded(1_200_000, 0)
	if p.lastCounted != 1_000_000 {
		t.Errorf("the newest report that counts is that of %d us", p.lastCounted)
	}
}

// TestSuccessEndsBackoff: once a report counts, the next is due after the usual interval, and the next failure is a first one.
func TestSuccessEndsBackoff(t *testing.T) {
	config := testConfig()
	config.TTL = 1 << 40 // the entry does not bound the delays
	config.RetryInitial, config.RetryMax = 1_000_000, 60_000_000
	success := func(p *Pacer) monotime.Micros {
		p.Start(0)
		fail(p, 0, 20)
		p.Started(0)
		p.Started(0)
		p.Failed(0, Rejected, 20_000_000) // one of the two
		p.Succeeded(0, 0)                 // the other
		return 0
	}
	if _, longest := bounds(delays(config, success)); longest > config.Interval*9/7 {
		t.Errorf("after a success, the next report is due after %d us", longest)
	}
	after := delays(config, func(p *Pacer) monotime.Micros { now := success(p); fail(p, now, 1); return now })
	if _, longest := bounds(after); longest > config.RetryInitial {
		t.Errorf("the first failure after a success delays by %d us", longest)
	}
}

// TestRetryAfterIsBoundedAndSpread: a Retry-After is honoured up to RetryAfterMax, and the backends that got it at the same time
// do not come back at the same time.
func TestRetryAfterIsBoundedAndSpread(t *testing.T) {
	config := testConfig()
	for _, c := range []struct{ retryAfter, want monotime.Micros }{{5_000_000, 5_000_000}, {3_600_000_000, config.RetryAfterMax}} {
		all := delays(config, func(p *Pacer) monotime.Micros {
			p.Started(0)
			p.Failed(0, Rejected, c.retryAfter)
			return 0
		})
		shortest, longest := bounds(all)
		if shortest < c.want || longest > c.want*3/2 || longest-shortest < config.Interval {
			t.Errorf("after Retry-After %d us, reports are due after %d to %d us", c.retryAfter, shortest, longest)
		}
	}
}

// TestFixedPacing: a report that failed is repeated after RetryMin; one that timed out has taken its time already, and the next
// is due at the interval.
func TestFixedPacing(t *testing.T) {
	config := testConfig()
	config.Fixed = true
	p := New(config, 1)
	p.Start(0)
	p.Started(0)
	p.Failed(100_000, Rejected, 0)
	if at, _ := p.Due(); at != 100_000+config.RetryMin {
		t.Errorf("after a failure, the next report is due at %d us", at)
	}
	p.Started(200_000)
	p.Failed(300_000, TimedOut, 0)
	if at, _ := p.Due(); at != 200_000+config.Interval {
		t.Errorf("after a timeout, the next report is due at %d us", at)
	}
}

// TestRetryDelays: the bounds of the delay after a failure, by its kind and by the age of the entry.
func TestRetryDelays(t *testing.T) {
	config := testConfig()
	const grown = 20 // failures, after which the bound is RetryMax
	refused := delays(config, func(p *Pacer) monotime.Micros {
		fail(p, 0, grown)
		p.Started(0)
		p.Failed(0, Refused, 0)
		return 0
	})
	if _, longest := bounds(refused); longest > config.RetryRefused {
		t.Errorf("a refused connection delays by %d us", longest)
	}
	never := delays(config, func(p *Pacer) monotime.Micros { fail(p, config.TTL*2/3, 1); return config.TTL * 2 / 3 })
	if _, longest := bounds(never); longest < config.TTL/2 {
		t.Errorf("without an entry, delays are up to %d us", longest)
	}
	entry := func(age monotime.Micros) []monotime.Micros {
		return delays(config, func(p *Pacer) monotime.Micros {
			p.Started(0)
			p.Succeeded(0, 0)
			fail(p, age, 1)
			return age
		})
	}
	if _, longest := bounds(entry(config.TTL / 3)); longest > config.TTL*2/3-renewalMargin {
		t.Errorf("the next report is due %d us after a failure, the entry expires in %d us", longest, config.TTL*2/3)
	}
	if _, longest := bounds(entry(config.TTL - renewalMargin)); longest < config.RetryInitial/2 {
		t.Errorf("too late to renew the entry, delays are up to %d us", longest)
	}
	config.RetryInitial, config.RetryMax = config.RetryMin/10, config.RetryMin/10
	if shortest, _ := bounds(delays(config, func(p *Pacer) monotime.Micros { fail(p, 0, 1); return 0 })); shortest < config.RetryMin {
		t.Errorf("a failure delays by %d us", shortest)
	}
}

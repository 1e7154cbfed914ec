package reportpacing

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

// TestEntryIsRenewedInTime checks that the entry does not expire after a single failure, that a report may be sent if
// none is in flight, and that the registry's Retry-After is honored.
func TestEntryIsRenewedInTime(t *testing.T) {
	config := testConfig()
	rapid.Check(t, func(t *rapid.T) {
		p := New(config, rapid.Uint64().Draw(t, "seed"))
		now := monotime.Micros(rapid.Int64Range(0, 1<<40).Draw(t, "now"))
		p.Start(now)
		if at, _ := p.Due(); at < now || at > now+config.Interval {
			t.Fatalf("the first report is due after %d us", at-now)
		}
		failedBefore := false
		lastAccepted := monotime.Micros(0) // 0: none yet
		notBefore := monotime.Micros(0)    // end of the Retry-After; 0: none
		for range 60 {
			at, mayReport := p.Due()
			if !mayReport {
				t.Fatal("no report may be sent though none is in flight")
			}
			if at < notBefore {
				t.Fatalf("due %d us before the registry's Retry-After is over", notBefore-at)
			}
			now = max(now, at)
			if lastAccepted > 0 && notBefore == 0 && now > lastAccepted+config.TTL {
				t.Fatalf("the entry expired %d us before the report", now-lastAccepted-config.TTL)
			}
			p.Started(now)
			startedAt := now
			now += monotime.Micros(rapid.IntRange(1, 200_000).Draw(t, "takes"))
			notBefore = 0
			if !failedBefore && rapid.Bool().Draw(t, "fails") {
				retryAfter := monotime.Micros(rapid.SampledFrom([]int{0, 0, 5_000_000}).Draw(t, "retry after"))
				p.Failed(now, Failure(rapid.IntRange(0, 1).Draw(t, "failure")), retryAfter)
				failedBefore = true
				if retryAfter > 0 {
					notBefore = now + retryAfter
				}
				continue
			}
			failedBefore = false
			lastAccepted = startedAt
			p.Succeeded(now, startedAt)
		}
	})
}

// TestTwoUnansweredReportsKeepTheEntry checks that the entry is renewed in time even if two consecutive reports get no
// response.
func TestTwoUnansweredReportsKeepTheEntry(t *testing.T) {
	config := testConfig()
	rapid.Check(t, func(t *rapid.T) {
		p := New(config, rapid.Uint64().Draw(t, "seed"))
		p.Start(0)
		now, _ := p.Due()
		p.Started(now)
		p.Succeeded(now+millisecond, now)
		expiresAt := now + millisecond + config.TTL
		for unanswered := range 3 {
			at, mayReport := p.Due()
			if now = at; !mayReport || now+millisecond > expiresAt {
				t.Fatalf("due %d us before the entry expires, may report %t, with %d in flight",
					expiresAt-now, mayReport, unanswered)
			}
			p.Started(now)
		}
	})
}

// TestRejectingRegistryIsNotFlooded checks that while the registry rejects all reports, the backends together make at
// most half of the usual number of calls in each second from the third on, and that no delay exceeds RetryMax.
func TestRejectingRegistryIsNotFlooded(t *testing.T) {
	const backends, seconds = 300, 30
	config := testConfig()
	var calls [seconds]int // by second
	for n := range backends {
		p := New(config, uint64(n))
		p.Start(0)
		lastReport := monotime.Micros(0)
		for {
			at, _ := p.Due()
			if at >= seconds*second {
				break
			}
			if at-lastReport > config.RetryMax {
				t.Fatalf("backend %d waits for %d us", n, at-lastReport)
			}
			lastReport = at
			calls[at/second]++
			p.Started(at)
			p.Failed(at+millisecond, Rejected, 0)
		}
	}
	usual := backends * int(second) / int(config.Interval)
	for s, n := range calls[2:] {
		if n > usual/2 {
			t.Errorf("second %d: %d calls, the usual number is %d", s+2, n, usual)
		}
	}
}

// TestSilentRegistryBoundsCallsInFlight checks that a backend has at most InFlight calls in flight to a registry that
// never responds.
func TestSilentRegistryBoundsCallsInFlight(t *testing.T) {
	const timeout = 2800 * millisecond
	config := testConfig()
	p := New(config, 7)
	p.Start(0)
	var startedAt []monotime.Micros // of the calls in flight, oldest first
	for now := monotime.Micros(0); now < 30*second; now += millisecond {
		for len(startedAt) > 0 && now-startedAt[0] >= timeout {
			startedAt = startedAt[1:]
			p.Failed(now, TimedOut, 0)
		}
		if at, mayReport := p.Due(); mayReport && at <= now {
			startedAt = append(startedAt, now)
			p.Started(now)
		}
		if len(startedAt) > config.InFlight {
			t.Fatalf("%d calls in flight", len(startedAt))
		}
	}
}

// TestReportsInFlightAreBounded checks that with InFlight reports in flight, no further report may be sent until one
// has ended, regardless of its result.
func TestReportsInFlightAreBounded(t *testing.T) {
	config := testConfig()
	for _, test := range []struct {
		name string
		end  func(p *Pacer)
	}{
		{"succeeded", func(p *Pacer) { p.Succeeded(1, 0) }},
		{"failed", func(p *Pacer) { p.Failed(1, TimedOut, 0) }},
		{"abandoned", func(p *Pacer) { p.Abandoned() }},
	} {
		t.Run(test.name, func(t *testing.T) {
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
			test.end(p)
			if _, mayReport := p.Due(); !mayReport {
				t.Error("no report may be sent once one has ended")
			}
		})
	}
}

// TestOlderReportDoesNotShortenEntryLifetime checks that the lifetime of the entry counts from the latest accepted
// report, even if reports end in a different order than they were sent.
func TestOlderReportDoesNotShortenEntryLifetime(t *testing.T) {
	p := New(testConfig(), 1)
	p.Start(0)
	p.Started(0)
	p.Started(second)
	p.Succeeded(1100*millisecond, second)
	p.Succeeded(1200*millisecond, 0)
	if p.lastAccepted != second {
		t.Errorf("the latest accepted report was sent at %d us", p.lastAccepted)
	}
}

// TestFixedPacingRetriesAfterRetryMin checks that fixed pacing sends the next report RetryMin after a failure. After a
// timeout, which takes longer than RetryMin, the next report is sent at the usual interval.
func TestFixedPacingRetriesAfterRetryMin(t *testing.T) {
	config := testConfig()
	config.Fixed = true
	p := New(config, 1)
	p.Start(0)
	p.Started(0)
	p.Failed(100*millisecond, Rejected, 0)
	if at, _ := p.Due(); at != 100*millisecond+config.RetryMin {
		t.Errorf("after a failure, the next report is due at %d us", at)
	}
	p.Started(200 * millisecond)
	p.Failed(300*millisecond, TimedOut, 0)
	if at, _ := p.Due(); at != 200*millisecond+config.Interval {
		t.Errorf("after a timeout, the next report is due at %d us", at)
	}
}

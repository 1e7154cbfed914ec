package reportpacing

import (
	"testing"

	"milletbarrow/monotime"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{
		Interval: 700_000, TTL: 3_000_000, RetryMin: 20_000, RetryRefused: 1_400_000, RetryInitial: 2_800_000, RetryMax: 4_200_000, RetryAfterMax: 30_000_000, InFlight: 3,
	}
}

// TestEntryIsRenewedInTime: no single failure loses the entry; reports are due once none is in flight; and the registry's
// Retry-After is honoured.
func TestEntryIsRenewedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(testConfig(), rapid.Uint64().Draw(t, "seed"))
		now := monotime.Micros(rapid.Int64Range(0, 1<<40).Draw(t, "now"))
		p.Start(now)
		if at, _ := p.Due(); at < now || at > now+testConfig().Interval {
			t.Fatalf("the first is due after %d us", at-now)
		}
		failedBefore, lastCounted, notBefore := false, monotime.Micros(0), monotime.Micros(0)
		for range 60 {
			at, mayReport := p.Due()
			if !mayReport {
				t.Fatal("no report may be sent though none is in flight")
			}
			if at < notBefore {
				t.Fatalf("due %d us before the registry's Retry-After is over", notBefore-at)
			}
			now = max(now, at)
			if lastCounted > 0 && notBefore == 0 && now > lastCounted+testConfig().TTL {
				t.Fatalf("the entry expired %d us before the report", now-lastCounted-testConfig().TTL)
			}
			p.Started(now)
			startedAt := now
			now += monotime.Micros(rapid.IntRange(1, 200_000).Draw(t, "takes"))
			notBefore = 0
			if !failedBefore && rapid.Bool().Draw(t, "fails") {
				retryAfter := monotime.Micros(rapid.SampledFrom([]int{0, 0, 5_000_000}).Draw(t, "retry after"))
				p.Failed(now, Failure(rapid.IntRange(0, 1).Draw(t, "failure")), retryAfter)
				if failedBefore = true; retryAfter > 0 {
					notBefore = now + retryAfter
				}
				continue
			}
			failedBefore, lastCounted = false, startedAt
			p.Succeeded(now, startedAt)
		}
	})
}

// TestTwoUnansweredReportsKeepTheEntry: the entry is renewed in time though two reports in a row are never answered.
func TestTwoUnansweredReportsKeepTheEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(testConfig(), rapid.Uint64().Draw(t, "seed"))
		p.Start(0)
		now, _ := p.Due()
		p.Started(now)
		p.Succeeded(now+1000, now)
		expires := now + 1000 + testConfig().TTL
		for unanswered := range 3 {
			at, mayReport := p.Due()
			if now = at; !mayReport || now+1000 > expires {
				t.Fatalf("due %d us before the entry expires, may report %t, with %d in flight", expires-now, mayReport, unanswered)
			}
			p.Started(now)
		}
	})
}

// TestRejectingRegistryIsNotFlooded: while the registry rejects all reports, the backends together make at most half as many
// calls as usual in each second from the third on; and none of them pauses for longer than RetryMax.
func TestRejectingRegistryIsNotFlooded(t *testing.T) {
	const backends, seconds = 300, 30
	var calls [seconds]int
	for n := range backends {
		p := New(testConfig(), uint64(n))
		p.Start(0)
		for lastReport := monotime.Micros(0); ; {
			at, _ := p.Due()
			if at >= seconds*1_000_000 {
				break
			}
			if at-lastReport > testConfig().RetryMax {
				t.Fatalf("backend %d pauses for %d us", n, at-lastReport)
			}
			lastReport = at
			calls[at/1_000_000]++
			p.Started(at)
			p.Failed(at+1000, Rejected, 0)
		}
	}
	usual := backends * 1_000_000 / int(testConfig().Interval)
	for s, n := range calls[2:] {
		if n > usual/2 {
			t.Errorf("second %d: %d calls, %d are usual", s+2, n, usual)
		}
	}
}

// TestSilentRegistryBoundsCallsInFlight: of a registry that never responds, one backend has at most InFlight calls open.
func TestSilentRegistryBoundsCallsInFlight(t *testing.T) {
	p := New(testConfig(), 7)
	p.Start(0)
	open := []monotime.Micros{}
	for now := monotime.Micros(0); now < 30_000_000; now += 1000 {
		for len(open) > 0 && now-open[0] >= 2_800_000 {
			open = open[1:]
			p.Failed(now, TimedOut, 0)
		}
		if at, mayReport := p.Due(); mayReport && at <= now {
			open = append(open, now)
			p.Started(now)
		}
		if len(open) > testConfig().InFlight {
			t.Fatalf("%d in flight", len(open))
		}
	}
}

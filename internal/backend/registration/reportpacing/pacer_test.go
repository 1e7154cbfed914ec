package reportpacing

import (
	"testing"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{
		Interval: 700_000, TTL: 3_000_000, RetryMin: 20_000, RetryRefused: 1_400_000, RetryInitial: 2_800_000, RetryMax: 4_200_000, RetryAfterMax: 30_000_000, InFlight: 3,
	}
}

// TestKeeps: whatever one miss in a row is like, the entry stands; no more are on their way than may be; and what the
// register asks for is kept.
func TestEntryIsRenewedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(testConfig(), rapid.Uint64().Draw(t, "seed"))
		now := Micros(rapid.Int64Range(0, 1<<40).Draw(t, "now"))
		p.Start(now)
		if at, _ := p.Due(); at < now || at > now+testConfig().Interval {
			t.Fatalf("the first is due after %d us", at-now)
		}
		failedBefore, lastCounted, notBefore := false, Micros(0), Micros(0)
		for range 60 {
			at, ok := p.Due()
			if !ok {
				t.Fatal("no room though all have ended")
			}
			if at < notBefore {
				t.Fatalf("due %d us before the register wants it", notBefore-at)
			}
			now = max(now, at)
			if lastCounted > 0 && notBefore == 0 && now > lastCounted+testConfig().TTL {
				t.Fatalf("the entry lapsed %d us before the report", now-lastCounted-testConfig().TTL)
			}
			p.Started(now)
			begun := now
			now += Micros(rapid.IntRange(1, 200_000).Draw(t, "takes"))
			notBefore = 0
			if !failedBefore && rapid.Bool().Draw(t, "is missed") {
				retryAfter := Micros(rapid.SampledFrom([]int{0, 0, 5_000_000}).Draw(t, "advice"))
				p.Failed(now, Failure(rapid.IntRange(0, 1).Draw(t, "how")), retryAfter)
				if failedBefore = true; retryAfter > 0 {
					notBefore = now + retryAfter
				}
				continue
			}
			failedBefore, lastCounted = false, begun
			p.Succeeded(now, begun)
		}
	})
}

// TestTwoNeverAnswered: the entry stands though two reports in a row are never answered.
func TestTwoUnansweredReportsKeepTheEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(testConfig(), rapid.Uint64().Draw(t, "seed"))
		p.Start(0)
		now, _ := p.Due()
		p.Started(now)
		p.Succeeded(now+1000, now)
		expires := now + 1000 + testConfig().TTL
		for unanswered := range 3 {
			at, ok := p.Due()
			if now = at; !ok || now+1000 > expires {
				t.Fatalf("due %d us before the entry lapses, room %t, with %d on their way", expires-now, ok, unanswered)
			}
			p.Started(now)
		}
	})
}

// TestRefusing: while the register takes nothing, all together call half as often as else at the most, a second at a time
// from the third on; and nobody stays away for longer than the longest pause.
func TestRejectingRegistryIsNotFlooded(t *testing.T) {
	const backends, seconds = 300, 30
	var calls [seconds]int
	for n := range backends {
		p := New(testConfig(), uint64(n))
		p.Start(0)
		for lastCounted := Micros(0); ; {
			at, _ := p.Due()
			if at >= seconds*1_000_000 {
				break
			}
			if at-lastCounted > testConfig().RetryMax {
				t.Fatalf("%d stays away for %d us", n, at-lastCounted)
			}
			lastCounted = at
			calls[at/1_000_000]++
			p.Started(at)
			p.Failed(at+1000, Rejected, 0)
		}
	}
	ordinary := backends * 1_000_000 / int(testConfig().Interval)
	for s, n := range calls[2:] {
		if n > ordinary/2 {
			t.Errorf("second %d: %d calls, an ordinary one has %d", s+2, n, ordinary)
		}
	}
}

// TestSilent: a register that answers nothing has so many calls of one backend open, and no more.
func TestSilentRegistryBoundsCallsInFlight(t *testing.T) {
	p := New(testConfig(), 7)
	p.Start(0)
	open := []Micros{}
	for now := Micros(0); now < 30_000_000; now += 1000 {
		for len(open) > 0 && now-open[0] >= 2_800_000 {
			open = open[1:]
			p.Failed(now, TimedOut, 0)
		}
		if at, ok := p.Due(); ok && at <= now {
			open = append(open, now)
			p.Started(now)
		}
		if len(open) > testConfig().InFlight {
			t.Fatalf("%d on their way", len(open))
		}
	}
}

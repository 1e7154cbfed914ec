package reportpacing

import (
	"testing"

	"pgregory.net/rapid"
)

func terms() Config {
	return Config{
		Usual: 700_000, Lapse: 3_000_000, Least: 20_000, Closed: 1_400_000, First: 2_800_000, Most: 4_200_000, Advice: 30_000_000, OnWay: 3,
	}
}

// TestKeeps: whatever one miss in a row is like, the entry stands; no more are on their way than may be; and what the
// register asks for is kept.
func TestKeeps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(terms(), rapid.Uint64().Draw(t, "seed"))
		now := Micros(rapid.Int64Range(0, 1<<40).Draw(t, "now"))
		p.Start(now)
		if at, _ := p.Due(); at < now || at > now+terms().Usual {
			t.Fatalf("the first is due after %d us", at-now)
		}
		missed, last, away := false, Micros(0), Micros(0)
		for range 60 {
			at, ok := p.Due()
			if !ok {
				t.Fatal("no room though all have ended")
			}
			if at < away {
				t.Fatalf("due %d us before the register wants it", away-at)
			}
			now = max(now, at)
			if last > 0 && away == 0 && now > last+terms().Lapse {
				t.Fatalf("the entry lapsed %d us before the report", now-last-terms().Lapse)
			}
			p.Started(now)
			begun := now
			now += Micros(rapid.IntRange(1, 200_000).Draw(t, "takes"))
			away = 0
			if !missed && rapid.Bool().Draw(t, "is missed") {
				advice := Micros(rapid.SampledFrom([]int{0, 0, 5_000_000}).Draw(t, "advice"))
				p.Failed(now, Failure(rapid.IntRange(0, 1).Draw(t, "how")), advice)
				if missed = true; advice > 0 {
					away = now + advice
				}
				continue
			}
			missed, last = false, begun
			p.Succeeded(now, begun)
		}
	})
}

// TestTwoNeverAnswered: the entry stands though two reports in a row are never answered.
func TestTwoNeverAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(terms(), rapid.Uint64().Draw(t, "seed"))
		p.Start(0)
		now, _ := p.Due()
		p.Started(now)
		p.Succeeded(now+1000, now)
		lapses := now + 1000 + terms().Lapse
		for hung := range 3 {
			at, ok := p.Due()
			if now = at; !ok || now+1000 > lapses {
				t.Fatalf("due %d us before the entry lapses, room %t, with %d on their way", lapses-now, ok, hung)
			}
			p.Started(now)
		}
	})
}

// TestRefusing: while the register takes nothing, all together call half as often as else at the most, a second at a time
// from the third on; and nobody stays away for longer than the longest pause.
func TestRefusing(t *testing.T) {
	const backends, seconds = 300, 30
	var calls [seconds]int
	for n := range backends {
		p := New(terms(), uint64(n))
		p.Start(0)
		for last := Micros(0); ; {
			at, _ := p.Due()
			if at >= seconds*1_000_000 {
				break
			}
			if at-last > terms().Most {
				t.Fatalf("%d stays away for %d us", n, at-last)
			}
			last = at
			calls[at/1_000_000]++
			p.Started(at)
			p.Failed(at+1000, Rejected, 0)
		}
	}
	ordinary := backends * 1_000_000 / int(terms().Usual)
	for s, n := range calls[2:] {
		if n > ordinary/2 {
			t.Errorf("second %d: %d calls, an ordinary one has %d", s+2, n, ordinary)
		}
	}
}

// TestSilent: a register that answers nothing has so many calls of one backend open, and no more.
func TestSilent(t *testing.T) {
	p := New(terms(), 7)
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
		if len(open) > terms().OnWay {
			t.Fatalf("%d on their way", len(open))
		}
	}
}

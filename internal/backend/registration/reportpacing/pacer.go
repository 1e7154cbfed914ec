// Package reportpacing decides when a backend tells the register that it is there: by chance from the first time on, in growing
// pauses while the register does not take it, and never so late that one miss costs the entry. It does no I/O and holds
// no clock. Not safe for use by several goroutines.
package reportpacing

import (
	"math/rand/v2"
	"time"

	"milletbarrow/internal/backoff"
)

// Micros is a point on some clock that only goes on, or a span, in whole microseconds.
type Micros int64

// Config of one backend's reports.
type Config struct {
	Interval      Micros // between two reports, in the mean
	TTL           Micros // the register drops an entry so long after its last report
	RetryMin      Micros // of a pause after a miss
	RetryRefused  Micros // the longest pause while nobody listens at the register's address: calls cost it nothing then
	RetryInitial  Micros // the longest pause after the first miss of another kind; it grows by half with each
	RetryMax      Micros // up to this
	RetryAfterMax Micros // the longest that the register may ask to stay away
	InFlight      int    // reports that may be on their way at once
	Fixed         bool   // no chance and no growing pauses, as it was before: for comparison
}

// Failure is how a report came to nothing.
type Failure int

// The misses.
const (
	Refused  Failure = iota // nobody listens there
	Rejected                // another answer than the one that counts, or a connection that broke
	TimedOut                // no answer in time
)

// Pacer is one backend's.
type Pacer struct {
	config      Config
	random      *rand.Rand
	growth      backoff.Exponential // of the bound that a pause is drawn below
	failures    int                 // in a row: intervals of growth used up
	inFlight    int
	due         Micros
	lastCounted Micros // when the last report that counted was begun
	registered  bool   // one counted
	overlapping bool   // the last two were on their way at once: the register is slow
}

// New makes one. The seed has to differ from process to process: backends that start at one instant must not stay in step.
func New(config Config, seed uint64) *Pacer {
	return &Pacer{
		config: config, random: rand.New(rand.NewPCG(seed, 0)),
		growth: backoff.Exponential{Initial: duration(config.RetryInitial), Max: duration(config.RetryMax), Multiplier: 1.5},
	}
}

func duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// upTo draws evenly from 0 to most.
func (p *Pacer) uniform(bound Micros) Micros {
	return Micros(p.random.Int64N(int64(max(0, bound)) + 1))
}

// usual is a pause between two reports that count: five to nine sevenths of the mean. Three fit into a lapse, so that one
// that is lost costs nothing.
func (p *Pacer) interval() Micros {
	if p.config.Fixed {
		return p.config.Interval
	}
	return p.config.Interval*5/7 + p.uniform(p.config.Interval*4/7)
}

// Start says that the first report, or the first at another address, may go out from now on.
func (p *Pacer) Start(now Micros) {
	p.failures = 0
	p.registered, p.due = false, now
	if !p.config.Fixed {
		p.due += p.uniform(p.config.Interval)
	}
}

// Due is when to report; ok is false while as many are on their way as may be.
func (p *Pacer) Due() (at Micros, mayReport bool) { return p.due, p.inFlight < p.config.InFlight }

// Started says that a report has gone out. Where the one before is still on its way, the register is slow, and the next
// waits as after a miss.
func (p *Pacer) Started(now Micros) {
	p.overlapping = p.inFlight > 0
	p.inFlight++
	p.due = now + p.interval()
	if p.overlapping && !p.config.Fixed {
		p.due = max(p.due, now+p.retryDelay(now, TimedOut))
	}
}

// Succeeded says that one that was begun then has counted.
func (p *Pacer) Succeeded(now, begun Micros) {
	p.inFlight--
	p.lastCounted, p.registered = max(p.lastCounted, begun), true
	p.failures = 0
	if next := now + p.interval(); !p.config.Fixed && p.due > next { // a longer pause is over
		p.due = next
	}
}

// Failed says that one came to nothing. advice is how long the register asks to stay away, 0 if it does not.
func (p *Pacer) Failed(now Micros, failure Failure, retryAfter Micros) {
	p.inFlight--
	if p.config.Fixed {
		if failure != TimedOut {
			p.due = now + p.config.RetryMin
		}
		return
	}
	delay := p.retryDelay(now, failure)
	if retryAfter = min(retryAfter, p.config.RetryAfterMax); retryAfter > 0 { // all that heard it come back then: spread
		delay = retryAfter + p.uniform(max(p.config.Interval, retryAfter/2))
	}
	p.due = now + delay
}

// Abandoned says that one that was begun before the latest Open has ended.
func (p *Pacer) Abandoned() { p.inFlight-- }

// guard is how long before the lapse a report is to be there.
const renewalMargin = 300_000

// pause is drawn evenly below a bound that grows: full jitter. While the entry still stands, the try is made in time to
// keep it, unless it is too late for that.
func (p *Pacer) retryDelay(now Micros, failure Failure) Micros {
	p.failures++
	bound := Micros(p.growth.Interval(p.failures).Microseconds())
	if failure == Refused {
		bound = min(bound, p.config.RetryRefused)
	}
	if left := p.lastCounted + p.config.TTL - renewalMargin - now; p.registered && left > renewalMargin {
		bound = min(bound, left)
	}
	return max(p.config.RetryMin, p.uniform(bound))
}

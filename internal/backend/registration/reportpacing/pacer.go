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
	Usual  Micros // between two reports, in the mean
	Lapse  Micros // the register drops an entry so long after its last report
	Least  Micros // of a pause after a miss
	Closed Micros // the longest pause while nobody listens at the register's address: calls cost it nothing then
	First  Micros // the longest pause after the first miss of another kind; it grows by half with each
	Most   Micros // up to this
	Advice Micros // the longest that the register may ask to stay away
	OnWay  int    // reports that may be on their way at once
	Fixed  bool   // no chance and no growing pauses, as it was before: for comparison
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
	t      Config
	draw   *rand.Rand
	growth backoff.Exponential // of the bound that a pause is drawn below
	misses int                 // in a row: intervals of growth used up
	onWay  int
	due    Micros
	good   Micros // when the last report that counted was begun
	held   bool   // one counted
	quiet  bool   // the last two were on their way at once: the register is slow
}

// New makes one. The seed has to differ from process to process: backends that start at one instant must not stay in step.
func New(t Config, seed uint64) *Pacer {
	return &Pacer{
		t: t, draw: rand.New(rand.NewPCG(seed, 0)),
		growth: backoff.Exponential{Initial: span(t.First), Max: span(t.Most), Multiplier: 1.5},
	}
}

func span(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// upTo draws evenly from 0 to most.
func (p *Pacer) upTo(most Micros) Micros { return Micros(p.draw.Int64N(int64(max(0, most)) + 1)) }

// usual is a pause between two reports that count: five to nine sevenths of the mean. Three fit into a lapse, so that one
// that is lost costs nothing.
func (p *Pacer) usual() Micros {
	if p.t.Fixed {
		return p.t.Usual
	}
	return p.t.Usual*5/7 + p.upTo(p.t.Usual*4/7)
}

// Start says that the first report, or the first at another address, may go out from now on.
func (p *Pacer) Start(now Micros) {
	p.misses = 0
	p.held, p.due = false, now
	if !p.t.Fixed {
		p.due += p.upTo(p.t.Usual)
	}
}

// Due is when to report; ok is false while as many are on their way as may be.
func (p *Pacer) Due() (at Micros, ok bool) { return p.due, p.onWay < p.t.OnWay }

// Started says that a report has gone out. Where the one before is still on its way, the register is slow, and the next
// waits as after a miss.
func (p *Pacer) Started(now Micros) {
	p.quiet = p.onWay > 0
	p.onWay++
	p.due = now + p.usual()
	if p.quiet && !p.t.Fixed {
		p.due = max(p.due, now+p.pause(now, TimedOut))
	}
}

// Succeeded says that one that was begun then has counted.
func (p *Pacer) Succeeded(now, begun Micros) {
	p.onWay--
	p.good, p.held = max(p.good, begun), true
	p.misses = 0
	if next := now + p.usual(); !p.t.Fixed && p.due > next { // a longer pause is over
		p.due = next
	}
}

// Failed says that one came to nothing. advice is how long the register asks to stay away, 0 if it does not.
func (p *Pacer) Failed(now Micros, how Failure, advice Micros) {
	p.onWay--
	if p.t.Fixed {
		if how != TimedOut {
			p.due = now + p.t.Least
		}
		return
	}
	wait := p.pause(now, how)
	if advice = min(advice, p.t.Advice); advice > 0 { // all that heard it come back then: spread
		wait = advice + p.upTo(max(p.t.Usual, advice/2))
	}
	p.due = now + wait
}

// Abandoned says that one that was begun before the latest Open has ended.
func (p *Pacer) Abandoned() { p.onWay-- }

// guard is how long before the lapse a report is to be there.
const guard = 300_000

// pause is drawn evenly below a bound that grows: full jitter. While the entry still stands, the try is made in time to
// keep it, unless it is too late for that.
func (p *Pacer) pause(now Micros, how Failure) Micros {
	p.misses++
	most := Micros(p.growth.Interval(p.misses).Microseconds())
	if how == Refused {
		most = min(most, p.t.Closed)
	}
	if left := p.good + p.t.Lapse - guard - now; p.held && left > guard {
		most = min(most, left)
	}
	return max(p.t.Least, p.upTo(most))
}

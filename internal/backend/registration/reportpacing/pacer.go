// Package reportpacing decides when a backend's next load report to the registry is due: with jitter, backing off while reports
// fail, and never so late that one failure loses the entry. It does no I/O and reads no clock.
package reportpacing

import (
	"math/rand/v2"
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/monotime"
)

// Config is the configuration of one backend's reports.
type Config struct {
	Interval      monotime.Micros // between two reports, in the mean
	TTL           monotime.Micros // the registry drops an entry so long after its last report
	RetryMin      monotime.Micros // the shortest pause after a failed report
	RetryRefused  monotime.Micros // the longest pause while the registry's address refuses connections: calls cost it nothing then
	RetryInitial  monotime.Micros // the longest pause after the first failure of another kind; it grows by half with each
	RetryMax      monotime.Micros // up to this
	RetryAfterMax monotime.Micros // the longest Retry-After that is honoured
	InFlight      int             // reports in flight at the same time, at most
	Fixed         bool            // no jitter and no backoff: for comparison
}

// Failure is how a report failed.
type Failure int

// The kinds of failure.
const (
	Refused  Failure = iota // the connection was refused
	Rejected                // a response other than the one that counts, or a connection that broke
	TimedOut                // no response in time
)

// Pacer paces the reports of one backend. It is not safe for use by several goroutines.
type Pacer struct {
	config      Config
	random      *rand.Rand
	growth      backoff.Exponential // of the bound that a retry delay is drawn below
	failures    int                 // in a row: intervals of growth used up
	inFlight    int
	due         monotime.Micros
	lastCounted monotime.Micros // start of the last report that the registry has counted
	registered  bool            // one was counted since Start
	overlapping bool            // the last two were in flight at the same time: the registry is slow
}

// New makes a pacer. The seed has to differ between processes: backends that start at the same time must not stay in step.
func New(config Config, seed uint64) *Pacer {
	return &Pacer{
		config: config, random: rand.New(rand.NewPCG(seed, 0)),
		growth: backoff.Exponential{Initial: duration(config.RetryInitial), Max: duration(config.RetryMax), Multiplier: 1.5},
	}
}

func duration(m monotime.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// uniform draws from 0 to bound, both included.
func (p *Pacer) uniform(bound monotime.Micros) monotime.Micros {
	return monotime.Micros(p.random.Int64N(int64(max(0, bound)) + 1))
}

// interval draws the pause after a report that counts: five to nine sevenths of the mean. Three fit into the TTL, so that one
// lost report does not lose the entry.
func (p *Pacer) interval() monotime.Micros {
	if p.config.Fixed {
		return p.config.Interval
	}
	return p.config.Interval*5/7 + p.uniform(p.config.Interval*4/7)
}

// Start makes the first report due, or the first to another address of the registry.
func (p *Pacer) Start(now monotime.Micros) {
	p.failures = 0
	p.registered, p.due = false, now
	if !p.config.Fixed {
		p.due += p.uniform(p.config.Interval)
	}
}

// Due returns when the next report is due; mayReport is false while the maximum of reports is in flight.
func (p *Pacer) Due() (at monotime.Micros, mayReport bool) {
	return p.due, p.inFlight < p.config.InFlight
}

// Started notes that a report was sent. Where the one before is still in flight, the registry is slow, and the next is delayed
// as after a failure.
func (p *Pacer) Started(now monotime.Micros) {
	p.overlapping = p.inFlight > 0
	p.inFlight++
	p.due = now + p.interval()
	if p.overlapping && !p.config.Fixed {
		p.due = max(p.due, now+p.retryDelay(now, TimedOut))
	}
}

// Succeeded notes that a report, sent at startedAt, was counted.
func (p *Pacer) Succeeded(now, startedAt monotime.Micros) {
	p.inFlight--
	p.lastCounted, p.registered = max(p.lastCounted, startedAt), true
	p.failures = 0
	if next := now + p.interval(); !p.config.Fixed && p.due > next { // a longer pause is over
		p.due = next
	}
}

// Failed notes that a report failed. retryAfter is the registry's Retry-After, 0 if it gave none.
func (p *Pacer) Failed(now monotime.Micros, failure Failure, retryAfter monotime.Micros) {
	p.inFlight--
	if p.config.Fixed {
		if failure != TimedOut {
			p.due = now + p.config.RetryMin
		}
		return
	}
	delay := p.retryDelay(now, failure)
	if retryAfter = min(retryAfter, p.config.RetryAfterMax); retryAfter > 0 { // every backend that got it comes back then: spread
		delay = retryAfter + p.uniform(max(p.config.Interval, retryAfter/2))
	}
	p.due = now + delay
}

// Abandoned notes the end of a report that was sent before the latest Start.
func (p *Pacer) Abandoned() { p.inFlight-- }

// renewalMargin is how long before the entry expires a report has to arrive, in microseconds.
const renewalMargin = 300_000

// retryDelay draws a delay below a bound that grows with each failure: full jitter. While the entry exists, the next attempt is
// made in time to renew it, unless it is too late for that.
func (p *Pacer) retryDelay(now monotime.Micros, failure Failure) monotime.Micros {
	p.failures++
	bound := monotime.FromDuration(p.growth.Interval(p.failures))
	if failure == Refused {
		bound = min(bound, p.config.RetryRefused)
	}
	if left := p.lastCounted + p.config.TTL - renewalMargin - now; p.registered && left > renewalMargin {
		bound = min(bound, left)
	}
	return max(p.config.RetryMin, p.uniform(bound))
}

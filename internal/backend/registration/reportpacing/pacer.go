// Package reportpacing decides when a backend's next load report to the registry is due: with jitter, with backoff
// while reports fail, and never so late that one failure loses the entry. It does no I/O and reads no clock.
package reportpacing

import (
	"math/rand/v2"

	"milletbarrow/internal/backoff"
	"milletbarrow/monotime"
)

const (
	// The delay after a report that counts is drawn from five to nine sevenths of the interval. Three such delays fit
	// into the TTL, so that one lost report does not lose the entry.
	sevenths            = 7
	minIntervalSevenths = 5
	jitterSevenths      = 4

	// retryGrowth is the growth of the bound of a retry delay from one failure to the next.
	retryGrowth = 1.5
	// retryAfterJitterDivisor is the ratio of a Retry-After to the jitter that is added to it.
	retryAfterJitterDivisor = 2
	// renewalMargin is the time before the entry expires by which a report has to arrive.
	renewalMargin = 300 * monotime.Millisecond
)

// Config is the configuration of one backend's reports.
type Config struct {
	Interval      monotime.Micros // mean time between two reports
	TTL           monotime.Micros // time after its last report when the registry drops an entry
	RetryMin      monotime.Micros // shortest delay after a failed report
	RetryRefused  monotime.Micros // longest delay while connections are refused, which cost the registry nothing
	RetryInitial  monotime.Micros // longest delay after the first failure of another kind
	RetryMax      monotime.Micros // longest delay after any number of failures
	RetryAfterMax monotime.Micros // longest Retry-After that is honoured
	InFlight      int             // largest number of reports in flight
	Fixed         bool            // no jitter and no backoff: for comparison
}

// Failure is how a report failed.
type Failure int

// The kinds of failure.
const (
	Refused  Failure = iota // the connection was refused
	Rejected                // another response than the one that counts, or a broken connection
	TimedOut                // no response in time
)

// Pacer paces the reports of one backend. It is not safe for concurrent use.
//
// Invariants, unless pacing is fixed:
//   - At most InFlight reports are in flight (TestReportsInFlightAreBounded, TestSilentRegistryBoundsCallsInFlight).
//   - No single failure delays the next report until the entry has expired (TestEntryIsRenewedInTime).
//   - No report is due before the registry's Retry-After is over (TestEntryIsRenewedInTime).
//   - No delay without a Retry-After is longer than RetryMax (TestRejectingRegistryIsNotFlooded).
type Pacer struct {
	config      Config
	random      *rand.Rand
	growth      backoff.Exponential // of the bound of retry delays
	failures    int                 // in a row
	inFlight    int                 // reports
	due         monotime.Micros     // when the next report is due
	lastCounted monotime.Micros     // start of the last report that the registry has counted
	registered  bool                // a report was counted since Start
}

// New returns a pacer. The seed has to differ between processes, or backends that start at the same time would report
// at the same times.
func New(config Config, seed uint64) *Pacer {
	return &Pacer{
		config: config,
		random: rand.New(rand.NewPCG(seed, 0)),
		growth: backoff.Exponential{
			Initial:    config.RetryInitial.Duration(),
			Max:        config.RetryMax.Duration(),
			Multiplier: retryGrowth,
		},
	}
}

// uniform draws from 0 to bound, both included.
func (p *Pacer) uniform(bound monotime.Micros) monotime.Micros {
	return monotime.Micros(p.random.Int64N(int64(max(0, bound)) + 1))
}

// interval draws the delay after a report that counts.
func (p *Pacer) interval() monotime.Micros {
	interval := p.config.Interval
	if p.config.Fixed {
		return interval
	}
	return interval*minIntervalSevenths/sevenths + p.uniform(interval*jitterSevenths/sevenths)
}

// Start makes the first report due, or the first to another address of the registry.
func (p *Pacer) Start(now monotime.Micros) {
	p.failures = 0
	p.registered = false
	p.due = now
	if !p.config.Fixed {
		p.due += p.uniform(p.config.Interval)
	}
}

// Due returns when the next report is due; mayReport is false while InFlight reports are in flight.
func (p *Pacer) Due() (at monotime.Micros, mayReport bool) {
	return p.due, p.inFlight < p.config.InFlight
}

// Started records that a report was sent. If the one before is still in flight, the registry is slow, and the next is
// delayed as after a failure.
func (p *Pacer) Started(now monotime.Micros) {
	overlaps := p.inFlight > 0
	p.inFlight++
	p.due = now + p.interval()
	if overlaps && !p.config.Fixed {
		p.due = max(p.due, now+p.retryDelay(now, TimedOut))
	}
}

// Succeeded records that a report, sent at startedAt, was counted.
func (p *Pacer) Succeeded(now, startedAt monotime.Micros) {
	p.inFlight--
	p.lastCounted = max(p.lastCounted, startedAt)
	p.registered = true
	p.failures = 0
	if next := now + p.interval(); !p.config.Fixed && p.due > next { // a longer retry delay is over
		p.due = next
	}
}

// Failed records that a report failed. retryAfter is the registry's Retry-After, 0 if it gave none.
func (p *Pacer) Failed(now monotime.Micros, failure Failure, retryAfter monotime.Micros) {
	p.inFlight--
	if p.config.Fixed {
		if failure != TimedOut {
			p.due = now + p.config.RetryMin
		}
		return
	}
	delay := p.retryDelay(now, failure)
	retryAfter = min(retryAfter, p.config.RetryAfterMax)
	if retryAfter > 0 { // with jitter, as other backends got the same one
		delay = retryAfter + p.uniform(max(p.config.Interval, retryAfter/retryAfterJitterDivisor))
	}
	p.due = now + delay
}

// Abandoned records the end of a report that was sent before the latest Start.
func (p *Pacer) Abandoned() { p.inFlight-- }

// retryDelay draws a delay below a bound that grows with each failure: full jitter. While the entry exists, the next
// attempt is made in time to renew it, unless it is too late for that.
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

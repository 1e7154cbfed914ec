// Package reportpacing decides when a backend's next load report to the registry is due. It applies jitter, and backoff
// while reports fail, but never delays a report so much that a single failure lets the registry's entry expire. It does
// no I/O and reads no clock.
package reportpacing

import (
	"math/rand/v2"

	"milletbarrow/internal/backoff"
	"milletbarrow/monotime"
)

const (
	// The delay after an accepted report is uniform between 5/7 and 9/7 of the interval. Three such delays fit into the
	// TTL, so that the entry does not expire if one report is lost.
	sevenths            = 7
	minIntervalSevenths = 5
	jitterSevenths      = 4

	// retryGrowth is the factor by which the upper bound of the retry delay grows with each failure.
	retryGrowth = 1.5
	// retryAfterJitterDivisor is the ratio of a Retry-After to the maximum jitter that is added to it.
	retryAfterJitterDivisor = 2
	// renewalMargin is how long before the entry expires the next report must be due, so that it arrives in time.
	renewalMargin = 300 * monotime.Millisecond
)

// Config configures the pacing of one backend's reports.
type Config struct {
	Interval      monotime.Micros // mean time between reports
	TTL           monotime.Micros // time after its last report at which the registry removes an entry
	RetryMin      monotime.Micros // shortest delay after a failed report
	RetryRefused  monotime.Micros // longest delay after a refused connection, which costs the registry nothing
	RetryInitial  monotime.Micros // longest delay after the first failure of any other kind
	RetryMax      monotime.Micros // longest delay after any number of failures
	RetryAfterMax monotime.Micros // upper limit of the registry's Retry-After
	InFlight      int             // maximum number of reports in flight
	Fixed         bool            // no jitter and no backoff, for comparison
}

// Failure is the kind of a report's failure.
type Failure int

// The kinds of failure.
const (
	Refused  Failure = iota // the connection was refused
	Rejected                // an error response or a broken connection
	TimedOut                // no response within the timeout
)

// Pacer paces the reports of one backend. It is not safe for concurrent use.
//
// Invariants, unless pacing is fixed:
//   - At most InFlight reports are in flight (TestReportsInFlightAreBounded, TestSilentRegistryBoundsCallsInFlight).
//   - No single failure delays the next report beyond the expiry of the entry (TestEntryIsRenewedInTime).
//   - No report is due before the registry's Retry-After is over (TestEntryIsRenewedInTime).
//   - No delay without a Retry-After is longer than RetryMax (TestRejectingRegistryIsNotFlooded).
type Pacer struct {
	config       Config
	random       *rand.Rand
	growth       backoff.Exponential // upper bound of retry delays
	failures     int                 // consecutive
	inFlight     int                 // reports in flight
	due          monotime.Micros     // when the next report is due
	lastAccepted monotime.Micros     // start of the latest report that the registry has accepted
	registered   bool                // a report has been accepted since Start
}

// New returns a pacer. The seed must differ between processes, or backends that start at the same time would report at
// the same times.
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

// uniform returns a random duration from 0 to bound, inclusive.
func (p *Pacer) uniform(bound monotime.Micros) monotime.Micros {
	return monotime.Micros(p.random.Int64N(int64(max(0, bound)) + 1))
}

// interval returns a random delay for the report after an accepted one.
func (p *Pacer) interval() monotime.Micros {
	interval := p.config.Interval
	if p.config.Fixed {
		return interval
	}
	return interval*minIntervalSevenths/sevenths + p.uniform(interval*jitterSevenths/sevenths)
}

// Start schedules the first report to the registry, also after a change of the registry's address.
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

// Started records that a report was sent. If an earlier report is still in flight, the registry is slow, and the next
// report is delayed as after a failure.
func (p *Pacer) Started(now monotime.Micros) {
	overlaps := p.inFlight > 0
	p.inFlight++
	p.due = now + p.interval()
	if overlaps && !p.config.Fixed {
		p.due = max(p.due, now+p.retryDelay(now, TimedOut))
	}
}

// Succeeded records that the registry accepted the report sent at startedAt.
func (p *Pacer) Succeeded(now, startedAt monotime.Micros) {
	p.inFlight--
	p.lastAccepted = max(p.lastAccepted, startedAt)
	p.registered = true
	p.failures = 0
	if next := now + p.interval(); !p.config.Fixed && p.due > next { // cancel a longer retry delay
		p.due = next
	}
}

// Failed records that a report failed. retryAfter is the registry's Retry-After, 0 if there was none.
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
	if retryAfter > 0 { // add jitter, as other backends may have received the same value
		delay = retryAfter + p.uniform(max(p.config.Interval, retryAfter/retryAfterJitterDivisor))
	}
	p.due = now + delay
}

// Abandoned records the end of a report that was sent before the latest Start and whose result is ignored.
func (p *Pacer) Abandoned() { p.inFlight-- }

// retryDelay returns a random delay between RetryMin and a bound that grows with each failure (full jitter). While the
// entry exists, the bound ensures that the next report renews it in time, unless it is too late for that.
func (p *Pacer) retryDelay(now monotime.Micros, failure Failure) monotime.Micros {
	p.failures++
	bound := monotime.FromDuration(p.growth.Interval(p.failures))
	if failure == Refused {
		bound = min(bound, p.config.RetryRefused)
	}
	if left := p.lastAccepted + p.config.TTL - renewalMargin - now; p.registered && left > renewalMargin {
		bound = min(bound, left)
	}
	return max(p.config.RetryMin, p.uniform(bound))
}

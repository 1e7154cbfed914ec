package reportpacing

import "milletbarrow/monotime"

// Units of time in the tests.
const (
	second      = monotime.Second
	millisecond = monotime.Millisecond
)

// testConfig returns the configuration of most tests.
func testConfig() Config {
	return Config{
		Interval:      700 * millisecond,
		TTL:           3 * second,
		RetryMin:      20 * millisecond,
		RetryRefused:  1400 * millisecond,
		RetryInitial:  2800 * millisecond,
		RetryMax:      4200 * millisecond,
		RetryAfterMax: 30 * second,
		InFlight:      3,
	}
}

// pacers is the number of pacers with different seeds that delayRange compares.
const pacers = 200

// delayRange returns the shortest and the longest delay before the next report of pacers with different seeds. prepare
// brings a pacer into the state to test, and returns the time from which the delay is measured.
func delayRange(config Config, prepare func(p *Pacer) (now monotime.Micros)) (shortest, longest monotime.Micros) {
	for seed := range uint64(pacers) {
		p := New(config, seed)
		now := prepare(p)
		at, _ := p.Due()
		delay := at - now
		if seed == 0 {
			shortest, longest = delay, delay
		}
		shortest = min(shortest, delay)
		longest = max(longest, delay)
	}
	return shortest, longest
}

// rejectReports records reports that are sent and rejected at the same time.
func rejectReports(p *Pacer, now monotime.Micros, reports int) {
	for range reports {
		p.Started(now)
		p.Failed(now, Rejected, 0)
	}
}

// acceptReport records a report that is sent and accepted at the same time.
func acceptReport(p *Pacer, now monotime.Micros) {
	p.Started(now)
	p.Succeeded(now, now)
}

package admission

import "milletbarrow/monotime"

// callStats is what is known of the calls to the dependency.
type callStats struct {
	first, retried   decayingSum       // number of calls, for the retry budget
	took, ended      decayingSum       // time and number of calls that succeeded, over long
	spent, succeeded decayingSum       // recent time of all calls, ended or not, and number of those that succeeded
	meanInFlight     decayingSum       // calls in flight times time
	lingering        []monotime.Micros // when abandoned calls leave the dependency
}

// usual is what a call that succeeds takes.
func (c *callStats) usual(now monotime.Micros) float64 {
	return (c.took.read(now) + 1000) / (c.ended.read(now) + 0.01)
}

// recent is what a call takes of late, those not ended included.
func (c *callStats) recent(now monotime.Micros) float64 {
	return (c.spent.read(now) + c.usual(now)) / (c.succeeded.read(now) + 1)
}

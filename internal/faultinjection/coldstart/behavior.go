// Package coldstart measures and checks a cold start by the calls that reached an endpoint registry: the rate of calls
// during the registry's outage, the bursts after it, and the time until the backends were listed. It does no I/O, reads
// no clock and does not depend on the code under test. All times are durations since the registry's phases began.
//
// The outage is the time before the registry's last phase, from which on it accepts all reports.
package coldstart

import "time"

// Mode is the behavior of a registry in a phase. Its value is the word that a schedule's file uses for it.
type Mode string

// Modes of a registry.
const (
	Accepts     Mode = "takes"   // accepts each report after the response time
	Rejects     Mode = "refuses" // rejects each report with status 503 after the response time
	RejectsHalf Mode = "half"    // rejects each report with a probability of one half
	Silent      Mode = "silent"  // accepts connections and never responds
	Down        Mode = "down"    // does not listen
)

// Modes returns the words of all modes.
func Modes() []string {
	return []string{string(Accepts), string(Rejects), string(RejectsHalf), string(Silent), string(Down)}
}

// Phase is a period in which a registry has one mode. It lasts until the next phase.
type Phase struct {
	From         time.Duration // start of the phase
	Mode         Mode
	ResponseTime time.Duration // 0: responds at once
	RetryAfter   time.Duration // Retry-After header of a rejection; 0: none
}

// RegistryBehavior describes how a fake of an endpoint registry behaves.
type RegistryBehavior struct {
	Phases       []Phase       // sorted by From; before the first phase, all reports are accepted at once
	MaxOpenCalls int           // number of open calls above which the registry collapses; 0: it never collapses
	RecoveryTime time.Duration // time after a collapse in which no report is accepted
}

// At returns the phase at a time.
func (b *RegistryBehavior) At(at time.Duration) Phase {
	phase := Phase{Mode: Accepts}
	for _, next := range b.Phases {
		if next.From <= at {
			phase = next
		}
	}
	return phase
}

// lastPhaseDuration is the duration that Until assumes for the last phase, which has no end.
const lastPhaseDuration time.Duration = time.Hour

// Until returns the end of the phase that begins at the given time.
func (b *RegistryBehavior) Until(from time.Duration) time.Duration {
	for _, phase := range b.Phases {
		if phase.From > from {
			return phase.From
		}
	}
	return from + lastPhaseDuration
}

// OutageEnd returns the start of the last phase, from which on the registry accepts all reports. It returns false if
// the last phase does not accept them.
func (b *RegistryBehavior) OutageEnd() (at time.Duration, ok bool) {
	if len(b.Phases) == 0 {
		return 0, true
	}
	last := b.Phases[len(b.Phases)-1]
	return last.From, last.Mode == Accepts
}

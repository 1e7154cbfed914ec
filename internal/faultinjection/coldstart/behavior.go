// Package coldstart judges a cold start by the calls that reached an endpoint registry: the rate of calls while the
// registry accepted no reports, the bursts after its recovery, and the time until the backends were listed. It does no
// I/O, reads no clock and does not depend on the code under test. All times are durations since the registry's phases
// began.
package coldstart

import "time"

// Mode is the behavior of a registry in a phase, written as its word in a schedule's file.
type Mode string

// The modes.
const (
	Takes   Mode = "takes"   // accepts each report after the response time
	Refuses Mode = "refuses" // rejects each report with status 503 after the response time
	Half    Mode = "half"    // rejects each report with a probability of one half
	Silent  Mode = "silent"  // accepts connections and never responds
	Down    Mode = "down"    // does not listen
)

// Modes returns the words of all modes.
func Modes() []string {
	return []string{string(Takes), string(Refuses), string(Half), string(Silent), string(Down)}
}

// Phase is a period in which a registry behaves by one mode. It lasts until the next phase.
type Phase struct {
	From         time.Duration // start of the phase
	Mode         Mode
	ResponseTime time.Duration // 0: responds at once
	RetryAfter   time.Duration // header of a rejection; 0: none
}

// RegistryBehavior describes how a fake of an endpoint registry behaves.
type RegistryBehavior struct {
	Phases       []Phase       // sorted by From; before the first phase, all reports are accepted at once
	MaxOpenCalls int           // limit above which the registry collapses; 0: it never collapses
	RecoveryTime time.Duration // time after a collapse in which no report is accepted
}

// At returns the phase of a time.
func (b *RegistryBehavior) At(at time.Duration) Phase {
	phase := Phase{Mode: Takes}
	for _, next := range b.Phases {
		if next.From <= at {
			phase = next
		}
	}
	return phase
}

// lastPhaseDuration is the duration of the last phase.
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

// Returned returns the start of the last phase, from which on the registry accepts all reports. It returns false if the
// last phase does not accept them.
func (b *RegistryBehavior) Returned() (at time.Duration, ok bool) {
	if len(b.Phases) == 0 {
		return 0, true
	}
	last := b.Phases[len(b.Phases)-1]
	return last.From, last.Mode == Takes
}

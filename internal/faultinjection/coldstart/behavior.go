// Package coldstart judges a cold start by the calls that reached an endpoint registry: how many came while it took
// nothing, how much they bunched once it did, and how long it took until the backends were listed. It does no I/O and
// reads no clock, and knows nothing of how backends decide. All times are spans since the registry's phases began.
package coldstart

import "time"

// Mode is how a registry behaves for a while: its word in a schedule's file.
type Mode string

// The modes.
const (
	Takes   Mode = "takes"   // each report counts, after the response time
	Refuses Mode = "refuses" // 503, after the response time
	Half    Mode = "half"    // every second one by chance is refused
	Silent  Mode = "silent"  // it accepts connections and never answers
	Down    Mode = "down"    // nobody listens
)

// Modes lists their words.
func Modes() []string {
	return []string{string(Takes), string(Refuses), string(Half), string(Silent), string(Down)}
}

// Phase is a mode that begins at a time.
type Phase struct {
	From         time.Duration
	Mode         Mode
	ResponseTime time.Duration
	RetryAfter   time.Duration // with a refusal; 0: none
}

// RegistryBehavior is how a fake of an endpoint registry behaves.
type RegistryBehavior struct {
	Phases       []Phase       // by From; before the first it takes all at once
	MaxOpenCalls int           // beyond so many open calls it falls over; 0: it never does
	RecoveryTime time.Duration // for which it takes nothing after it fell over
}

// At is the phase of a time.
func (b *RegistryBehavior) At(t time.Duration) Phase {
	phase := Phase{Mode: Takes}
	for _, next := range b.Phases {
		if next.From <= t {
			phase = next
		}
	}
	return phase
}

// lastPhase is how long the last phase lasts.
const lastPhase = time.Hour

// Until is when the phase ends that begins then.
func (b *RegistryBehavior) Until(from time.Duration) time.Duration {
	for _, p := range b.Phases {
		if p.From > from {
			return p.From
		}
	}
	return from + lastPhase
}

// Returned is when it takes reports for good: the last phase's beginning; ever is false if that one does not take them.
func (b *RegistryBehavior) Returned() (at time.Duration, ever bool) {
	if len(b.Phases) == 0 {
		return 0, true
	}
	last := b.Phases[len(b.Phases)-1]
	return last.From, last.Mode == Takes
}

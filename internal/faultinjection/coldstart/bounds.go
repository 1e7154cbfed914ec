package coldstart

import "fmt"

// Bounds holds the highest allowed values of fields of Figures. A bound of 0 is not checked.
type Bounds struct {
	RefusingRatio         float64 // of Figures.RefusingRate to Figures.OrdinaryRate
	FirstPeak             float64 // see Figures.FirstPeak
	Peak                  float64 // see Figures.Peak
	ConnectionsPerBackend int     // see Figures.Connections
	MostListed            float64 // see Figures.MostListed; seconds
}

// Violations returns one line for each bound that the figures exceed, and one each for collapses, expired entries and
// missing entries. Stored verdicts contain these lines.
func (f *Figures) Violations(b Bounds) (all []string) {
	add := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	if b.RefusingRatio > 0 && f.RefusingRate > b.RefusingRatio*f.OrdinaryRate {
		add("%.0f calls a second while it took nothing, %.0f may come", f.RefusingRate, b.RefusingRatio*f.OrdinaryRate)
	}
	if b.FirstPeak > 0 && f.FirstPeak > b.FirstPeak {
		add("a tenth of the first second had %.2f times the mean, %.2f may come", f.FirstPeak, b.FirstPeak)
	}
	if b.Peak > 0 && f.Peak > b.Peak {
		add("a tenth of a second had %.2f times the mean once all were listed, %.2f may come", f.Peak, b.Peak)
	}
	if b.ConnectionsPerBackend > 0 && f.Connections > b.ConnectionsPerBackend*f.Backends {
		add("%d connections were open, %d may be", f.Connections, b.ConnectionsPerBackend*f.Backends)
	}
	if b.MostListed > 0 && (f.MostListed < 0 || f.MostListed > b.MostListed) {
		add("95 in a hundred were listed after %.1f s, within %.1f s it has to be", f.MostListed, b.MostListed)
	}
	if f.Collapses > 0 {
		add("it fell over %d times", f.Collapses)
	}
	if f.Expired > 0 {
		add("%d entries lapsed, for up to %.1f s", f.Expired, f.LongestExpiry)
	}
	if f.Listed < f.Backends {
		add("%d of %d are listed at the end", f.Listed, f.Backends)
	}
	return all
}

package coldstart

import "fmt"

// Bounds holds the highest allowed values of fields of Figures. A bound of 0 is not checked.
type Bounds struct {
	Refusing float64 // as a fraction of Figures.Ordinary
	First    float64 // ratio of call rates
	Peak     float64 // ratio of call rates
	Conns    int     // connections per backend
	Most     float64 // seconds
}

// Violations returns one line for each bound that the figures exceed, and for each collapse, lapsed or missing entry.
// Stored verdicts contain these lines.
func (f *Figures) Violations(b Bounds) (all []string) {
	add := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	if b.Refusing > 0 && f.Refusing > b.Refusing*f.Ordinary {
		add("%.0f calls a second while it took nothing, %.0f may come", f.Refusing, b.Refusing*f.Ordinary)
	}
	if b.First > 0 && f.First > b.First {
		add("a tenth of the first second had %.2f times the mean, %.2f may come", f.First, b.First)
	}
	if b.Peak > 0 && f.Peak > b.Peak {
		add("a tenth of a second had %.2f times the mean once all were listed, %.2f may come", f.Peak, b.Peak)
	}
	if b.Conns > 0 && f.Conns > b.Conns*f.Backends {
		add("%d connections were open, %d may be", f.Conns, b.Conns*f.Backends)
	}
	if b.Most > 0 && (f.Most < 0 || f.Most > b.Most) {
		add("95 in a hundred were listed after %.1f s, within %.1f s it has to be", f.Most, b.Most)
	}
	if f.Falls > 0 {
		add("it fell over %d times", f.Falls)
	}
	if f.Lapsed > 0 {
		add("%d entries lapsed, for up to %.1f s", f.Lapsed, f.LapsedFor)
	}
	if f.Listed < f.Backends {
		add("%d of %d are listed at the end", f.Listed, f.Backends)
	}
	return all
}

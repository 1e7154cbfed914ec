package coldstart

import "fmt"

// Bounds are what a cold start has to keep to; what is 0 is not judged. The fields are those of Figures.
type Bounds struct {
	Refusing float64 // as a part of Ordinary
	First    float64
	Peak     float64
	Conns    int // for each backend
	Most     float64
}

// Violations lists what was not kept to.
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

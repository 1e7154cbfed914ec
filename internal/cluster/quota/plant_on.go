//go:build plant

package quota

import "os"

// plants are faults that the proving ground must catch: see docs/budget-design.md.
var plants = func() (p struct{ margin, early, forget, floors bool }) {
	word := os.Getenv("MILLETBARROW_PLANT")
	p.margin, p.early, p.forget, p.floors = word == "margin", word == "early", word == "forget", word == "floors"
	return p
}()

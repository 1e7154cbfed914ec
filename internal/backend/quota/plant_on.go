//go:build plant

package quota

import "os"

// plants are faults that the proving ground must catch: see docs/budget-design.md.
var plants = struct{ epoch bool }{os.Getenv("MILLETBARROW_PLANT") == "epoch"}

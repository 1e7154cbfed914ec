//go:build plant

package fleet

import "os"

// plants are faults that the proving ground must catch: see docs/rise-design.md.
var plants = struct{ ignore bool }{os.Getenv("MILLETBARROW_PLANT") == "ignore"}

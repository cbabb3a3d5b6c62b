package membership

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// A fixed seed makes CI runs reproducible. For longer runs, set another seed with
// -rapid.seed and more schedules with -rapid.checks.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

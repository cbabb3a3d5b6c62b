package usage

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// The seed is fixed so that CI gives the same result every time. For a longer
// run, set another seed with -rapid.seed and more checks with -rapid.checks.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

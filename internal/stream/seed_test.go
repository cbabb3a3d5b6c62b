package stream

import (
	"flag"

	_ "pgregory.net/rapid" // registers the -rapid.* flags
)

// A fixed seed makes the tests reproducible in CI. To explore more schedules,
// pass another seed with -rapid.seed and a higher count with -rapid.checks.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

package usage

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// CI must give the same verdict every time. A longer run takes another seed
// with -rapid.seed and more schedules with -rapid.checks.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

package config

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag
)

// The seed is fixed so that CI gives the same result in every run. Use
// -rapid.seed for another seed and -rapid.checks for more random cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

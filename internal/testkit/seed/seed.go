// Package seed fixes the random seed of property tests, so that every run of CI checks the same cases and gives the same
// verdict. The test files of a package import it for this effect. The flag -rapid.seed sets another seed.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag that init sets
)

func init() {
	if err := flag.Set("rapid.seed", "16"); err != nil {
		panic(err)
	}
}

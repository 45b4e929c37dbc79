// Package seed makes the property tests of a package that imports it draw the same cases each time, so that CI has one
// verdict; -rapid.seed draws others.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // whose flag this sets
)

func init() {
	if err := flag.Set("rapid.seed", "16"); err != nil {
		panic(err)
	}
}

package membership

import "flag"

// Property tests draw the same cases each time, so that CI has one verdict; -rapid.seed draws others.
func init() {
	if err := flag.Set("rapid.seed", "16"); err != nil {
		panic(err)
	}
}

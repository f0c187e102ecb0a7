// Package fixedseed makes property tests repeatable: every run of a test binary draws the same cases.
package fixedseed

import (
	"flag"
	"testing"
)

// Set fixes the seed of pgregory.net/rapid and keeps it from writing failure files into the repository. Flags that are
// given on the command line stay as they are.
func Set(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		registered := flag.Lookup(name)
		if registered == nil {
			t.Fatalf("flag %s is not registered; the test does not use rapid", name)
		}
		if registered.Value.String() != registered.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

// Package testseed fixes the seed of property tests, so that every run checks the same
// cases.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a fixed seed for rapid, unless the command line
// sets the flag -rapid.seed. A package calls Main from its TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

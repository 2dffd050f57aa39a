package placement

import (
	"testing"

	"burdockseam/core/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

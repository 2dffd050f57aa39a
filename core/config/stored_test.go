package config

import (
	"testing"
	"time"

	"burdockseam/core/golden"
)

// TestStoredObjects guards against renaming a JSON field of a stored object or of the
// output for operators.
func TestStoredObjects(t *testing.T) {
	at := time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC)
	golden.JSON(
		t, "testdata/stored-objects.golden",
		golden.Value{Name: "head", Value: Head{
			Revision: 7, Files: map[string]string{"teams.ini": "hash1"}, Ops: []Op{{ID: "op1", Revision: 6}},
			Change: "hash2", Author: "ada", Time: at, Comment: "raise the rate",
		}},
		golden.Value{Name: "entry", Value: Entry{
			Revision: 7, Op: "op2", Parent: "hash3", Before: map[string]string{"teams.ini": "hash4"},
			After: map[string]string{"teams.ini": "hash1"}, Author: "ada", Time: at, Comment: "raise the rate",
		}},
		golden.Value{Name: "setting", Value: Setting{
			Section: "team tailors", Key: "rate", Value: "40/s", Origin: Origin{File: "teams.ini", Line: 3},
		}},
		golden.Value{Name: "change", Value: Change{Section: "team tailors", Key: "rate", Old: "40/s", New: "50/s"}},
	)
}

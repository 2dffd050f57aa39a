package fleet

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// getOperatorPage returns the body of a page on the operators' port of an instance.
func getOperatorPage(t *testing.T, m *Member, path string) string {
	t.Helper()
	r, err := http.Get("http://" + m.Settings().Operator + path)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// eventually waits until a condition holds. Only a hang takes longer than its 30 s.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("did not happen: %s", what)
		}
	}
}

// waitRevision waits until the revision is in force at every instance.
func waitRevision(t *testing.T, f *Fleet, revision uint64) {
	t.Helper()
	eventually(t, "the revision is in force at every instance", func() bool {
		for _, m := range f.Members() {
			if m.Status().Revision < revision {
				return false
			}
		}
		return true
	})
}

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestUsage guards against windows that operators do not see because another instance reported
// them, and against a list that looks whole although an instance did not answer.
func TestUsage(t *testing.T) {
	operators := "127.0.0.1:1"
	for _, window := range []int{8, 9} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"usage":{"windows":[{"window":%d,"end":"2026-12-06T07:00:45Z","requests":512,"holder":"n1","token":4294967297,"outcome":"accepted","after":1.25}]}}`, window)
		}))
		t.Cleanup(s.Close)
		operators += "," + strings.TrimPrefix(s.URL, "http://")
	}
	for _, want := range []string{"8       07:00:45  512", "9       07:00:45  512", "1.2s", "no answer: 127.0.0.1:1"} {
		runCommand(t, "usage", "--operator", operators).check(t, exitOK, want)
	}
	runCommand(t, "usage", "--json", "--operator", operators).check(t, exitOK, `"window": 9`)
	runCommand(t, "usage", "--operator", "127.0.0.1:1").check(t, exitFailed, "127.0.0.1:1")
	runCommand(t, "usage").check(t, exitUsage, "--operator")
}

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockseam/core/call"
	"burdockseam/core/where"
)

// TestWhere guards against a question that does not reach the instance as it was asked, and
// against an exit code from which scripts take a route or a team that does not exist, or an
// instance that does not answer, for an answer.
func TestWhere(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := where.FromValues(r.URL.Query())
		a := where.Answer{Instance: "n1", Version: 7, Choice: &where.Choice{Upstream: "u0 " + q.Team + " " + q.Database + " " + string(q.Kind), Reason: "primary"}}
		switch {
		case r.URL.Path != "/where":
			w.WriteHeader(http.StatusNotFound)
		case q.Database == "none":
			a = where.Answer{Instance: "n1", Version: 7, Code: call.NoDatabase}
		case q.Team == "nobody":
			a = where.Answer{Instance: "n1", Version: 7, Code: call.Denied}
		case q.Database == "waits":
			a.Choice = &where.Choice{Why: "the group has no primary", Retry: 0.5}
		}
		if err := json.NewEncoder(w).Encode(a); err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	operators := "127.0.0.1:1," + strings.TrimPrefix(s.URL, "http://")
	for _, c := range []struct {
		name string
		args []string
		code int
		text string
	}{
		{"read by default", []string{"a&b", "orders"}, exitOK, "goes to u0 a&b orders read"},
		{"write", []string{"a", "orders", "write"}, exitOK, "orders write"},
		{"transaction as JSON", []string{"a", "orders", "transaction", "--json"}, exitOK, `"upstream": "u0 a orders transaction"`},
		{"nothing can be chosen", []string{"a", "waits"}, exitOK, "nothing can be chosen: the group has no primary"},
		{"no route", []string{"a", "none"}, exitFailed, `no route "none" in configuration 7`},
		{"no team", []string{"nobody", "orders"}, exitFailed, `no team "nobody" in configuration 7`},
		{"no kind", []string{"a", "orders", "delete"}, exitUsage, "delete"},
		{"no database", []string{"a"}, exitUsage, "ROUTE"},
		{"help", []string{"--help"}, exitOK, "read, write or transaction"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCommand(t, append([]string{"where", "--operator", operators}, c.args...)...).check(t, c.code, c.text)
		})
	}
	runCommand(t, "where", "a", "orders").check(t, exitUsage, "--operator")
	runCommand(t, "where", "a", "orders", "--operator", "127.0.0.1:1").check(t, exitFailed, "127.0.0.1:1")
}

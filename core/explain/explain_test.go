package explain

import (
	"strings"
	"testing"
)

// TestExplain guards against a wrong cause, and against log lines that do not show the
// cause. Each case has lines as instances log them; shown is the number of lines in the
// explanation.
func TestExplain(t *testing.T) {
	const limit = `{"time":"2026-12-04T10:00:05Z","msg":"request: over the limit","id":"x","team":"red","route":"r"}`
	const collected = `{"time":"2026-12-04T10:00:05Z","msg":"request: over the limit","id":"x","team":"red","collector":"b"}`
	const refused = `{"time":"2026-12-04T10:00:05Z","msg":"request: not served","id":"x","group":"g",`
	for _, test := range []struct {
		name  string
		lines []string
		cause Cause
		shown int
	}{
		{"over the rate", []string{limit}, CauseLimit, 1},
		{"owner lost", []string{limit, `{"time":"2026-12-04T10:00:04Z","msg":"limit: owner","owner":"b","before":"a"}`}, CauseOwner, 2},
		{"owner lost long before", []string{limit, `{"time":"2026-12-04T09:59:04Z","msg":"limit: owner","owner":"b","before":"a"}`}, CauseLimit, 1},
		{"collector lost", []string{collected, `{"time":"2026-12-04T10:00:04Z","msg":"limit: collector","collector":"b","before":"a"}`}, CauseOwner, 2},
		{"collected, owner lost", []string{collected, `{"time":"2026-12-04T10:00:04Z","msg":"limit: lease not written"}`}, CauseLimit, 1},
		{"key withdrawn", []string{refused + `"code":"denied"}`, `{"time":"2026-12-04T10:00:04Z","msg":"config: in force","version":7}`}, CauseKey, 2},
		{"no route", []string{`{"time":"2026-12-04T10:00:05Z","msg":"request: refused","id":"x","code":"nodatabase"}`}, CauseRoute, 1},
		{"instance alone", []string{refused + `"code":"busy","why":"the configuration is not confirmed"}`, `{"time":"2026-12-04T10:00:00Z","msg":"store: no answer"}`}, CauseAlone, 2},
		{"gateway does not answer", []string{refused + `"code":"indoubt","ran":"maybe"}`, `{"time":"2026-12-04T10:00:04.9Z","msg":"route: no answer from the gateway","id":"x","gateway":"p"}`, `{"time":"2026-12-04T10:00:04Z","msg":"peer: suspect","peer":"p"}`}, CauseInstance, 3},
		{"upstream does not answer", []string{refused + `"code":"indoubt"}`, `{"time":"2026-12-04T10:00:04.9Z","msg":"gateway: no answer from the upstream","id":"x","upstream":"u"}`}, CauseUpstream, 2},
		{"neither gateway nor upstream answers", []string{
			refused + `"code":"indoubt"}`, `{"time":"2026-12-04T10:00:04.9Z","msg":"gateway: no answer from the upstream","id":"x","upstream":"u"}`,
			`{"time":"2026-12-04T10:00:04.9Z","msg":"route: no answer from the gateway","id":"x","gateway":"p"}`,
		}, CauseUpstream, 3},
		{"change of primary", []string{refused + `"code":"indoubt"}`, `{"time":"2026-12-04T10:00:04.9Z","msg":"gateway: no answer from the upstream","id":"x","upstream":"u"}`, `{"time":"2026-12-04T10:00:05.5Z","msg":"group: change of primary begins","group":"g"}`}, CausePrimary, 3},
		{"change of another group's primary", []string{refused + `"code":"busy","why":"cannot finish by its deadline"}`, `{"time":"2026-12-04T10:00:05.5Z","msg":"group: change of primary begins","group":"h"}`}, CauseLoad, 1},
		{"no primary", []string{refused + `"code":"busy","why":"no upstream can run this now"}`}, CausePrimary, 1},
		{"replicas lagging", []string{refused + `"code":"lagging"}`}, CauseReplica, 1},
		{"no line shows the cause", []string{refused + `"code":"failed"}`}, CauseUnknown, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines, skipped, err := Read(strings.NewReader(strings.Join(append(test.lines, "not JSON"), "\n")), "a")
			if err != nil || skipped != 1 {
				t.Fatalf("Read skipped %d lines, want 1; error %v", skipped, err)
			}
			e, ok := Explain(lines, "x")
			if !ok || e.Cause != test.cause || len(e.Lines) != test.shown {
				t.Errorf("Explain returns %+v, want cause %s with %d lines", e, test.cause, test.shown)
			}
		})
	}
	if _, ok := Explain(nil, "x"); ok {
		t.Error("Explain returns true for a request without log lines")
	}
}

package logs

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// blockedWriter takes nothing until it is let go.
type blockedWriter struct {
	bytes.Buffer
	let chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.let
	return w.Buffer.Write(b)
}

// TestBackground guards against a request that waits for a blocked reader of the log, and
// against lines that are lost without a count.
func TestBackground(t *testing.T) {
	out := &blockedWriter{let: make(chan struct{})}
	w, end := NewBackgroundWriter(out)
	const lines = 2 * maxQueuedLines
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.let)
	end()
	written, lost := strings.Count(out.String(), "line\n"), 0
	for _, text := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, err := strconv.Atoi(text[1])
		if err != nil {
			t.Error(err)
		}
		lost += n
	}
	if lost == 0 || written+lost != lines {
		t.Errorf("%d lines written and %d lost, of %d", written, lost, lines)
	}
}

package logs

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(b)
}

// Guards against a request that waits for a blocked reader of the log, and against dropped
// lines that are not counted.
func TestBlockedReader(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w, end := NewBackgroundWriter(out)
	const lines = 2 * maxQueuedLines
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	end()
	written, dropped := strings.Count(out.String(), "line\n"), 0
	for _, text := range regexp.MustCompile(`"lines":(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, err := strconv.Atoi(text[1])
		if err != nil {
			t.Error(err)
		}
		dropped += n
	}
	if dropped == 0 || written+dropped != lines {
		t.Errorf("%d lines written and %d reported as dropped, of %d", written, dropped, lines)
	}
}

// TestLinesAfterStop guards against a process that panics at the end of its shutdown because work
// that is still under way logs a line.
func TestLinesAfterStop(t *testing.T) {
	var out bytes.Buffer
	w, stop := NewBackgroundWriter(&out)
	for range 300 {
		if _, err := w.Write([]byte("before\n")); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	if n, err := w.Write([]byte("after\n")); n != len("after\n") || err != nil {
		t.Errorf("wrote %d bytes, error %v", n, err)
	}
	if got := strings.Count(out.String(), "before\n"); got != 300 {
		t.Errorf("%d lines were written before the end, want 300", got)
	}
}

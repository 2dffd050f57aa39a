package logs

import (
	"io"
	"strconv"
	"sync"
)

// backlog bounds the lines that wait to be written. Lines beyond it are dropped and
// counted, since no request may wait for a slow reader of the log.
const backlog = 4096

// maxBatch bounds the lines that are written at once.
const maxBatch = 256

// background writes lines in the order in which they come, without making the writer
// wait.
type background struct {
	lines chan []byte
	mu    sync.Mutex
	lost  int
}

// Background returns a writer that hands lines to out in the background, several at a
// time where they wait. end writes what waits.
func Background(out io.Writer) (w io.Writer, end func()) {
	b := &background{lines: make(chan []byte, backlog)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.run(out)
	}()
	return b, func() {
		close(b.lines)
		<-done
	}
}

// Write implements io.Writer. It never fails and never waits.
func (b *background) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.mu.Lock()
		b.lost++
		b.mu.Unlock()
	}
	return len(line), nil
}

func (b *background) run(out io.Writer) {
	for line := range b.lines {
		batch := line
		for n := 1; n < maxBatch && len(b.lines) > 0; n++ {
			batch = append(batch, <-b.lines...)
		}
		// A failed write means that nobody reads the log any more.
		if _, err := out.Write(batch); err != nil {
			continue
		}
		b.report(out)
	}
}

// report tells how many lines were dropped.
func (b *background) report(out io.Writer) {
	b.mu.Lock()
	lost := b.lost
	b.lost = 0
	b.mu.Unlock()
	if lost > 0 {
		// The same holds for this line.
		_, _ = io.WriteString(out, `{"level":"WARN","msg":"log: lines lost","lines":`+strconv.Itoa(lost)+"}\n")
	}
}

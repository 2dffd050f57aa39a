package logs

import (
	"io"
	"strconv"
	"sync"
)

// maxQueuedLines bounds the lines that wait to be written. When the queue is full, lines are
// dropped and counted, because a slow reader of the log must not delay requests.
const maxQueuedLines = 4096

// maxBatchLines bounds the lines that are written with one Write call.
const maxBatchLines = 256

// backgroundWriter writes lines to another writer in the order of their arrival, without
// blocking the caller.
type backgroundWriter struct {
	lines   chan []byte
	ended   chan struct{} // closed by stop
	mu      sync.Mutex
	dropped int
}

// NewBackgroundWriter returns a writer that queues lines and writes them to out in the
// background, in batches if several are queued. Each Write must be a whole line. stop
// writes the queued lines and ends the background goroutine. Lines that are written to w after
// it are discarded.
func NewBackgroundWriter(out io.Writer) (w io.Writer, stop func()) {
	b := &backgroundWriter{lines: make(chan []byte, maxQueuedLines), ended: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.writeLines(out)
	}()
	return b, func() {
		close(b.ended)
		<-done
	}
}

// Write implements io.Writer. It never fails and never blocks.
func (b *backgroundWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.mu.Lock()
		b.dropped++
		b.mu.Unlock()
	}
	return len(line), nil
}

// writeLines writes the queued lines until stop is called and the queue is empty.
func (b *backgroundWriter) writeLines(out io.Writer) {
	for {
		select {
		case line := <-b.lines:
			b.writeBatch(out, line)
		case <-b.ended:
			for len(b.lines) > 0 {
				b.writeBatch(out, <-b.lines)
			}
			return
		}
	}
}

// writeBatch writes a line and those that are queued behind it.
func (b *backgroundWriter) writeBatch(out io.Writer, line []byte) {
	batch := line
	for n := 1; n < maxBatchLines && len(b.lines) > 0; n++ {
		batch = append(batch, <-b.lines...)
	}
	// If a write fails, the log has no reader any more, so the lines are discarded.
	if _, err := out.Write(batch); err == nil {
		b.reportDropped(out)
	}
}

// reportDropped writes a log line with the number of dropped lines, if there are any.
func (b *backgroundWriter) reportDropped(out io.Writer) {
	b.mu.Lock()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		// If this write fails, the log has no reader any more, as in writeLines.
		_, _ = io.WriteString(out, `{"level":"WARN","msg":"log: lines lost","lines":`+strconv.Itoa(dropped)+"}\n")
	}
}

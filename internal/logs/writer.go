package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// capacity is the size of the buffer, in bytes.
	capacity = 256 << 10
	// flushInterval is the longest time that a line stays in the buffer. Few large writes cost less than many small ones.
	flushInterval = 250 * time.Millisecond
)

// Writer is a zerolog.LevelWriter with a bounded buffer. Out is set before Run. Write and WriteLevel are safe for concurrent use.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	buf     []byte
	spare   []byte // swapped with buf at each flush, to reuse its memory
	dropped int    // number of lines dropped since the last flush
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// Write adds a line without a level, as one of level warn.
func (w *Writer) Write(b []byte) (int, error) { return w.WriteLevel(zerolog.WarnLevel, b) }

// WriteLevel adds a line to the buffer, or drops it if there is no room for its level. It never returns an error.
func (w *Writer) WriteLevel(level zerolog.Level, b []byte) (int, error) {
	room := capacity
	if level < zerolog.WarnLevel {
		room /= 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(b) > room {
		w.dropped++
		return len(b), nil
	}
	w.buf = append(w.buf, b...)
	return len(b), nil
}

// Run flushes the buffer at each flushInterval until ctx ends, and once more then.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		w.Flush()
	}
}

// Flush writes the buffer to Out. If Out returns an error, the lines are lost, as there is no other place to report it.
func (w *Writer) Flush() {
	w.mu.Lock()
	out := w.buf
	if w.dropped > 0 {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"message\":\"log: lines were dropped\",\"lines\":%d}\n", w.dropped)
		w.dropped = 0
	}
	w.buf = w.spare[:0]
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.Out.Write(out)
	}
	w.mu.Lock()
	w.spare = out[:0]
	w.mu.Unlock()
}

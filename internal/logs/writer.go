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
	// flushEvery bounds the age of a line before it is written. Few large writes cost less than many small ones.
	flushEvery = 250 * time.Millisecond
)

// Writer is a zerolog.LevelWriter with a bounded buffer. Out is set before Run.
type Writer struct {
	Out io.Writer

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// Write adds a line without a level.
func (w *Writer) Write(b []byte) (int, error) { return w.WriteLevel(zerolog.WarnLevel, b) }

// WriteLevel adds a line, or drops it when there is no room for its level. It never fails.
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

// Run writes the lines out until ctx ends, and what is left then.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		w.Flush()
	}
}

// Flush writes the buffer out. An output that fails loses the lines: there is nowhere else to report it.
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

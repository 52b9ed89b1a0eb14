package sink

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stallingWriter is an output that can stall.
type stallingWriter struct {
	mu     sync.Mutex
	writes [][]byte
	stall  chan struct{}
}

func (w *stallingWriter) Write(b []byte) (int, error) {
	if w.stall != nil {
		<-w.stall
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, bytes.Clone(b))
	return len(b), nil
}

func (w *stallingWriter) written() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return string(bytes.Join(w.writes, nil))
}

func withSink(t *testing.T, out *stallingWriter, test func(s *Sink)) {
	synctest.Test(t, func(t *testing.T) {
		s := New(out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.Serve(ctx)
		}()
		test(s)
		cancel()
		<-done
	})
}

func writeLine(s *Sink, text string) { _, _ = s.Write([]byte(text + "\n")) }

// Lines are written whole, in order and in writes that a pipe takes atomically; the last
// ones are written when the process ends.
func TestSinkWritesWholeLines(t *testing.T) {
	out := &stallingWriter{}
	withSink(t, out, func(s *Sink) {
		for range 300 {
			writeLine(s, strings.Repeat("x", 100))
		}
		writeLine(s, strings.Repeat("y", 3*maxWriteBytes))
		time.Sleep(time.Second)
		writeLine(s, "last")
	})
	for _, w := range out.writes {
		if len(w) > maxWriteBytes && !bytes.HasPrefix(w, []byte("y")) || w[len(w)-1] != '\n' {
			t.Errorf("a write of %d bytes ends with %q", len(w), w[len(w)-1])
		}
	}
	if n := strings.Count(out.written(), "\n"); n != 302 || !strings.HasSuffix(out.written(), "last\n") {
		t.Errorf("%d lines, want 302 with the last one", n)
	}
}

// The reader of the output stalls. Goroutines that log must not wait, memory is bounded,
// and the number of dropped lines is logged.
func TestSinkDoesNotBlock(t *testing.T) {
	out := &stallingWriter{}
	withSink(t, out, func(s *Sink) {
		// Made within the synctest bubble, so that waiting for it lets the fake clock
		// advance.
		out.stall = make(chan struct{})
		writeLine(s, "first")
		time.Sleep(time.Second)
		for range 2 * maxBufferedBytes / 100 {
			writeLine(s, strings.Repeat("x", 99))
		}
		if s.lines.Len() > maxBufferedBytes {
			t.Errorf("%d bytes are buffered", s.lines.Len())
		}
		close(out.stall)
		time.Sleep(time.Second)
	})
	if !strings.Contains(out.written(), `"event":813`) {
		t.Error("the number of dropped lines is not logged")
	}
}
